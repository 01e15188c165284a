// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <host/organisation_limits.h>
#include <host/share_table.h>
#include <settings/organisation_policy.h>

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace postpaddle::service {

/// Enforces organisations' limits on this host. Thread-safe; shared by all relay workers.
class limit_controller {
public:
    /// Rate limits start out empty at `process_began`, since requests admitted by an earlier process are not
    /// known.
    explicit limit_controller(base::time_point process_began) : usage{.process_began = process_began} {}

    /// An organisation's demand on this host, reported to the owner of its share.
    struct demand {
        base::organisation_id organisation;
        double amount = 0;
    };

    /// Admits a request, or returns the limit of its organisation that it exceeds.
    [[nodiscard]] std::optional<host::limit_refusal>
    admit_request(const settings::organisation_policy& policy, int prompt_tokens, base::time_point now);
    /// Releases the concurrency slot of an admitted request.
    void release_request(const base::organisation_id& organisation);

    /// Sets the number of working hosts, from which the share of organisations without a grant is derived.
    void set_working_hosts(std::size_t count);
    /// Applies a share granted by the organisation's owner.
    void set_share(const base::organisation_id& organisation, double share, base::time_point now);
    /// Organisations whose demand on this host is significant.
    [[nodiscard]] std::vector<demand> demands(base::time_point now);
    /// Number of requests in progress, over all organisations.
    [[nodiscard]] int in_progress() const;
    /// Usable share of each organisation, for the state dump.
    [[nodiscard]] std::map<std::string, double> shares(base::time_point now) const;

private:
    mutable std::mutex mutex;
    host::organisation_limit_table usage;
    std::map<base::organisation_id, host::held_share> held_shares;
    std::size_t working_hosts = 1;
};

} // namespace postpaddle::service
