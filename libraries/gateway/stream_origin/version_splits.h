// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/gateway_state.h>
#include <gateway/stream_origin/log_replica.h>
#include <gateway/stream_origin/service_splits.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace postpaddle::gateway {

/// This host's replica of the services' splits in the store, and its part in keeping them up to date.
///
/// While every service has one split, nothing is read after the start. Any host may write: the first in the
/// order of all hosts does so at once, the others if it has not done so after a while. Writes are
/// conditional, so none is lost.
class version_splits {
public:
    version_splits(gateway_state& state, ports::control_feed& feed);

    /// Starts reading and writing; runs as long as the process. `on_change` is called when another history of
    /// a service has been read.
    void start(std::function<void(const std::string& service)> on_change);
    /// Null if nothing is known of the service, or its newest note can't be read.
    [[nodiscard]] const service_splits* find(const std::string& service) const;
    /// What is known of all services, by name.
    [[nodiscard]] const std::map<std::string, service_splits>& all() const { return this->stored; }
    /// The services at which streams of the route can have begun.
    [[nodiscard]] std::vector<std::string> services_of(const std::string& route) const;
    /// Whether streams may begin on what is known, without a record: it is what the store had a short while
    /// ago, and covers all versions of the service's upstreams.
    [[nodiscard]] bool is_confirmed(const std::string& service) const;
    /// Whether all versions of the service's known upstreams are in its history.
    [[nodiscard]] bool covers_registry(const std::string& service) const;
    /// Offset up to which the splits have been read; 0 if they have not.
    [[nodiscard]] std::uint64_t end() const { return this->log.end().value_or(0); }
    /// Another host has read the splits up to that offset.
    void did_read_elsewhere(std::uint64_t other_end);
    /// Whether another host is known to have read newer splits since this one last read them.
    [[nodiscard]] bool are_newer_elsewhere() const;
    /// Reads the store unless a read has begun since the call; returns whether what is known now includes all
    /// that the store had at the call.
    [[nodiscard]] bool refresh(wire::yield_context yield);

private:
    void run(wire::yield_context yield);
    void apply(const ports::service_note_page& page);
    void update_views();
    void write_updates(wire::yield_context yield);
    [[nodiscard]] bool is_read_due() const;
    [[nodiscard]] bool is_write_due() const;
    [[nodiscard]] std::vector<std::pair<std::string, service_splits>> find_updates() const;
    [[nodiscard]] bool has_several_splits() const;
    [[nodiscard]] base::duration poll_interval() const;
    [[nodiscard]] base::duration retention_of(const std::string& service) const;

    gateway_state* state;
    ports::control_feed* feed;
    std::map<std::string, service_splits> stored; ///< By service.
    /// Services whose newest note can't be read. It may say something else than what is known, so nothing is
    /// told of these services and nothing is written for them.
    std::set<std::string> unreadable_services;
    std::map<std::string, service_view> views; ///< By service.
    std::map<std::string, split_ages> ages;    ///< By service.
    std::uint64_t registry_revision = 0;       ///< For which `views` were made.
    std::uint64_t settings_revision = 0;       ///< Likewise, the version of the settings.
    base::time_point views_made_at{};
    base::time_point written_at{}; ///< When the last writes began.
    std::optional<base::time_point> mismatched_since{};
    std::optional<base::time_point> newer_heard_at{}; ///< When another host last told of newer splits.
    std::function<void(const std::string&)> on_change;
    log_replica<ports::service_note_page> log;
};

/// The longest time after its beginning at which a stream of the service may be resumed.
[[nodiscard]] base::duration longest_return(const gateway_state& state, const std::string& service);

} // namespace postpaddle::gateway
