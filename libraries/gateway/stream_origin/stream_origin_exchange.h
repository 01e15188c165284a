// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/gateway_state.h>
#include <gateway/peers/peer_datagrams.h>
#include <gateway/stream_origin/stream_origin_message.h>
#include <host/replica_ring.h>
#include <host/stream_origins.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace postpaddle::gateway {

/// Keeps records of what began each resumable stream on several hosts, and asks these hosts when a caller
/// returns that names the attempt which brought the first event.
///
/// Only the presence of a record says anything: a host that has none may have been restarted.
class stream_origin_exchange {
public:
    /// Zones whose hosts may hold a record; none: all.
    using allowed_zones = std::optional<std::set<base::zone_id>>;

    stream_origin_exchange(gateway_state& state, peer_datagrams& datagrams);

    /// Starts receiving.
    void start();
    /// Records a stream here and at its replicas, for as long as it may be resumed. Returns once enough of
    /// them have confirmed it, or after a short time.
    void record(const host::stream_keys& keys, const host::stream_origin& origin, base::duration lifetime,
                const allowed_zones& zones, wire::yield_context yield);
    /// What began the stream, by this host's records or by those of its replicas. Without a record it can
    /// only have been the version of `service`, if that has had a single one by the word of any host asked;
    /// with an empty `service`, that is not considered.
    [[nodiscard]] std::optional<host::stream_origin> find(const host::stream_keys& keys,
                                                          const std::string& service,
                                                          const allowed_zones& zones,
                                                          wire::yield_context yield);

private:
    /// A record or a question that other hosts have been sent, until enough of them have answered.
    struct pending_message {
        pending_message(wire::asio::io_context& context, const stream_origin_message& message);

        std::string bytes; ///< As sent.
        host::stream_keys keys;
        stream_origin_message_kind kind;
        wire::boot_timer wake;                           ///< Cancelled by the last answer that is needed.
        std::map<base::host_id, std::string> unanswered; ///< Hosts and their addresses.
        std::size_t needed = 0;                          ///< Answers that end the wait.
        std::size_t received = 0;                        ///< Answers so far.
        std::optional<host::stream_origin> origin;       ///< As answered.
    };

    void record_here(const host::stream_keys& keys, const host::stream_origin& origin,
                     base::duration lifetime);
    [[nodiscard]] bool handle(std::string_view bytes);
    void handle_record(const stream_origin_message& message);
    void handle_question(const stream_origin_message& message);
    void handle_answer(const stream_origin_message& message);
    /// Sends the message until the answers that are needed have arrived or the attempts are used up.
    void await_answers(pending_message& pending, wire::yield_context yield);
    void reply(const base::host_id& host, const stream_origin_message& message);
    [[nodiscard]] std::map<base::host_id, std::string>
    addresses_of(const std::vector<base::host_id>& hosts) const;
    [[nodiscard]] host::replica_query query_for(const host::stream_key& key,
                                                const allowed_zones& zones) const;
    /// The origin of all streams of the service, if it has had a single version for long enough.
    [[nodiscard]] std::optional<host::stream_origin> infer(const std::string& service) const;
    /// Waits, shortly after the start, until the list of hosts has been read.
    void await_host_list(wire::yield_context yield) const;
    /// The ring of the hosts known now.
    [[nodiscard]] const host::replica_ring& current_ring();

    gateway_state* state;
    peer_datagrams* datagrams;
    host::stream_origins origins;
    host::replica_ring ring;
    base::time_point ring_made_at{};
    /// Also held by the coroutines that wait.
    std::shared_ptr<std::set<pending_message*>> pending = std::make_shared<std::set<pending_message*>>();
};

} // namespace postpaddle::gateway
