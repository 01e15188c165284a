// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/gateway_state.h>

#include <set>
#include <string>

namespace postpaddle::gateway {

/// Probes the links to a service after a failed connection: once to learn whose fault it was, and at short
/// intervals for as long as the service is unreachable. One probe per service at a time.
class reach_prober {
public:
    explicit reach_prober(gateway_state& state) : state(&state) {}

    void start();

private:
    void did_doubt(const std::string& service);
    void run(const std::string& service, wire::yield_context yield);
    /// Connects to an instance of the service, if there is one, and records the outcome.
    void probe(const std::string& service, wire::yield_context yield);
    /// A random instance, rather one to which no connection has failed.
    [[nodiscard]] const decision::instance* choose(const std::string& service);

    gateway_state* state;
    std::set<std::string> probing; ///< Services with a probe in progress.
};

/// Whether this host's links work, shown by a connection to an instance other than `failed`: one opened since
/// `failed_at`, or one opened now. Tries a few instances of the service, or of others if it has no other one.
/// True if there is no other instance at all.
[[nodiscard]] bool confirm_own_links(gateway_state& state, const base::upstream_id& failed,
                                     base::time_point failed_at, wire::yield_context yield);

} // namespace postpaddle::gateway
