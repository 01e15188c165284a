// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/engine_room.h>
#include <gateway/gateway_state.h>

namespace postpaddle::gateway {

/// Prepares what the order of waiting requests needs of the settings: ranks by service and share keys.
void prepare_order(settings_in_force& settings);

/// Rank of requests of an organisation (none: no priority) and route; 0 if the policy does not order by rank.
[[nodiscard]] int rank_of(const settings_in_force& settings, const std::string& service,
                          std::optional<int> organisation_priority, int route_priority,
                          const settings::gateway_policy& policy);

/// The same by the priorities that newer settings give to that organisation (null: none) and route.
[[nodiscard]] int rank_in_newer(const settings_in_force& settings, const std::string& service,
                                const settings::organisation_entry* organisation,
                                const settings::route_entry& route, const settings::gateway_policy& policy);

/// How a service's waiting requests are ordered, without the shares.
[[nodiscard]] decision::wait_order order_of(const gateway_state& state, const std::string& service);

/// What determines the position of one of this host's requests, as it is reported to the other hosts.
[[nodiscard]] decision::local_waiter local_waiter_of(const gateway_state& state,
                                                     const waiting_request& request, base::time_point now);

/// Memory of a service's eligible decode engines, in tokens.
struct slot_memory {
    double total = 0;
    double free = 0;
};

/// Slots at a service's decode engines, as one of its waiting requests sees them.
[[nodiscard]] decision::decode_slots count_slots_for(const gateway_state& state,
                                                     const waiting_request& waiting);

/// Waiting requests that other hosts report.
struct reported_waiters {
    int hosts = 0; ///< That report any.
    int requests = 0;

    bool operator==(const reported_waiters&) const = default;
};

/// The same by service.
struct peer_waiters {
    std::map<std::string, reported_waiters> by_service; ///< `hosts` without those of `of_any_service`.
    reported_waiters of_any_service; ///< Of shares that are not in the settings, which may be of any service.

    /// Those of the service and those that may be.
    [[nodiscard]] reported_waiters of(const std::string& service) const;
};

/// Reads each report once for all services, as there may be hundreds of services and hosts.
[[nodiscard]] peer_waiters count_peer_waiters(const gateway_state& state);

/// The queue of the requests of all hosts that wait for an engine slot of the service, with the shares by
/// which `order_of` orders them.
[[nodiscard]] decision::wait_queue make_wait_queue(const gateway_state& state, const std::string& service,
                                                   decision::wait_order order, const slot_memory& memory,
                                                   base::time_point now);

/// The requests of all hosts that wait for an engine slot of the service. Valid until the next call.
///
/// Kept for some milliseconds unless the order is by age alone, since other hosts' reports are no newer.
[[nodiscard]] const ordered_waiters& ordered_waiters_of(gateway_state& state, const std::string& service,
                                                        const slot_memory& memory);

/// Call after a change of this host's waiting requests or shares, or of reports that may free capacity.
void did_change_order(gateway_state& state);

/// Engine memory that a request occupies or has reserved, counted in its organisation's share.
class scoped_share_use {
public:
    scoped_share_use(gateway_state& state, host::share_key key, double memory_tokens);
    scoped_share_use(const scoped_share_use&) = delete;
    scoped_share_use(scoped_share_use&&) = delete;
    scoped_share_use& operator=(const scoped_share_use&) = delete;
    scoped_share_use& operator=(scoped_share_use&&) = delete;
    ~scoped_share_use();

private:
    gateway_state* state;
    host::share_key key;
    double memory_tokens;
};

} // namespace postpaddle::gateway
