// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <service/control_context.h>
#include <service/peer_codec.h>
#include <wire/connection_pool.h>

#include <map>
#include <set>

namespace postpaddle::service {

/// Polls the load of the engines that this host owns, and aborts attempts left there by hosts that are gone.
class upstream_controller {
public:
    explicit upstream_controller(control_context& control);

    void start();
    /// Returns the load reports received by this host, with their current age.
    [[nodiscard]] std::map<std::string, shared_load> loads() const;

private:
    struct received_load {
        decision::load_report report;
        base::time_point asked_at{}; ///< The report is at most as old as that.
    };

    void poll_forever(wire::yield_context yield);
    void poll(const base::upstream_id& id, const std::string& address, wire::yield_context yield);
    void abort_orphans_forever(wire::yield_context yield);
    void abort_orphans(const std::string& address, wire::yield_context yield);
    [[nodiscard]] std::vector<std::pair<base::upstream_id, std::string>> owned_engines() const;

    control_context* control;
    wire::connection_pool pool;
    std::map<base::upstream_id, received_load> received_loads;
    std::set<base::upstream_id> polling; ///< Engines with a poll in progress.
};

} // namespace postpaddle::service
