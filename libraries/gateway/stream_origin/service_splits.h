// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/instance_table.h>
#include <decision/traffic_split.h>
#include <settings/routing_settings.h>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace postpaddle::gateway {

/// What streams of a service that may still be resumed can have begun under. Kept in the store.
struct service_splits {
    decision::split_history history;
    std::set<std::string> routes; ///< Names of the resumable routes that led to the service.

    bool operator==(const service_splits&) const = default;
};

/// Encodes as JSON.
[[nodiscard]] std::string encode_splits(const service_splits& splits);

/// Returns nothing if the text is malformed.
[[nodiscard]] std::optional<service_splits> decode_splits(std::string_view text);

/// What a host sees of a service now.
struct service_view {
    std::map<std::string, std::uint32_t> capacity; ///< Slots of the listed engines that run streams.
    std::set<std::string> versions; ///< Of all known upstreams, whatever their state; may contain "".
    std::set<std::string> routes;   ///< Resumable routes that lead to the service.
};

/// The services with resumable routes, as this host sees them.
[[nodiscard]] std::map<std::string, service_view> view_services(const settings::routing_settings& settings,
                                                                const decision::instance_table& instances);

/// What has been superseded for longer than streams may be resumed.
struct expired_splits {
    std::size_t splits = 0; ///< Number of the oldest splits.
    std::set<std::string> routes;

    bool operator==(const expired_splits&) const = default;
};

/// The splits that should be stored in place of `stored`; nothing if those still fit.
[[nodiscard]] std::optional<service_splits> update_splits(const std::optional<service_splits>& stored,
                                                          const service_view& view,
                                                          const expired_splits& expired);

/// Since when a host has known each part of a service's splits, by its own clock.
struct split_ages {
    std::deque<base::time_point> since;                    ///< Of each split, oldest first.
    std::uint64_t first_number = 0;                        ///< Number of the oldest one.
    std::map<std::string, base::time_point> unused_routes; ///< Since when no route of that name leads here.
};

/// Call with the splits after each read of the store.
void record_ages(split_ages& ages, const service_splits& splits, const service_view& view,
                 base::time_point now);

/// What no stream that may still be resumed, within `retention` after its beginning, can have begun under.
[[nodiscard]] expired_splits find_expired(const split_ages& ages, base::duration retention,
                                          base::time_point now);

} // namespace postpaddle::gateway
