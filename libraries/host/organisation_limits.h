// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <base/identifier.h>
#include <settings/organisation_policy.h>

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace postpaddle::host {

/// Which limit was exceeded.
enum class limit_kind { requests, concurrency, prompt_tokens };

/// A request was refused because a limit is exceeded.
struct limit_refusal {
    limit_kind kind = limit_kind::requests;
    base::duration retry_after{};

    bool operator==(const limit_refusal&) const = default;
};

struct token_bucket {
    double level = 0;
    base::time_point filled_at{};
    bool is_started = false;
};

/// One organisation's usage on this host.
struct organisation_usage {
    token_bucket requests;
    token_bucket prompt_tokens;
    int concurrent = 0;
    /// Exponentially decaying count of recent requests; reported as demand to the share's owner.
    double arrivals = 0;
    base::time_point arrivals_at{};
};

/// Usage of all organisations on this host.
struct organisation_limit_table {
    base::time_point process_began{}; ///< Start of the process; buckets are empty then.
    std::unordered_map<base::organisation_id, organisation_usage> uses{};
};

/// Admits a request, or returns the limit that it exceeds. `share` is this host's fraction of the limits.
[[nodiscard]] std::optional<limit_refusal> try_admit(organisation_limit_table& table,
                                                     const base::organisation_id& id,
                                                     const settings::limit_settings& limits, double share,
                                                     int prompt_tokens, base::time_point now);

/// Ends an admitted request, releasing its concurrency slot.
void release(organisation_limit_table& table, const base::organisation_id& id);

/// Demand of an organisation on this host: recent and ongoing requests.
[[nodiscard]] double demand_of(organisation_limit_table& table, const base::organisation_id& id,
                               base::time_point now);

} // namespace postpaddle::host
