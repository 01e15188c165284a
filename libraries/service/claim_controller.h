// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <host/claim_table.h>
#include <service/control_context.h>
#include <service/peer_codec.h>

#include <array>
#include <memory>
#include <vector>

namespace postpaddle::service {

/// Number of log streams that claims are partitioned over. Each partition has one owner host, which reads
/// and appends its stream.
inline constexpr int claim_partition_count = 12;

/// Forwards workers' claims to the owner of their partition, and decides those of the partitions this host
/// owns.
///
/// An owner answers `won` only after it has read the claim back from the log as the first of its key, so that
/// two hosts that both consider themselves owner reach the same verdict.
class claim_controller {
public:
    explicit claim_controller(control_context& control);

    void start();
    /// Handles a claim request of another host. Waits for the log.
    [[nodiscard]] std::string answer(const std::string& payload, wire::yield_context yield);
    /// Number of claims held in memory, over all partitions.
    [[nodiscard]] std::size_t claim_count() const;

private:
    /// A claim that waits for the next append to its partition.
    struct waiting_claim {
        timed_claim timed;
        host::claim_resolution answer;
        bool is_done = false;
        std::shared_ptr<wire::boot_timer> wake;
    };

    /// The owner's state of one partition.
    struct partition_state {
        host::claim_table table;
        std::vector<std::shared_ptr<waiting_claim>> waiting;
        std::vector<host::claim_end> ends;
        bool is_flushing = false;
        base::time_point last_append{};
        base::time_point log_failed_at{};
    };

    void forward_queued_claims(wire::yield_context yield);
    void forward_claims(const claim_request& request,
                        std::vector<std::function<void(host::claim_resolution)>> answers,
                        wire::yield_context yield);
    void send_outcomes_forever(wire::yield_context yield);
    [[nodiscard]] std::vector<host::claim_resolution> process(const claim_request& request,
                                                              wire::yield_context yield);
    void flush(int partition, wire::yield_context yield);
    void flush_once(int partition, wire::yield_context yield);
    [[nodiscard]] bool catch_up(int partition, wire::yield_context yield);
    void resolve_waiting(partition_state& state, bool is_final);
    [[nodiscard]] std::optional<host::member> owner_of(int partition) const;

    control_context* control;
    std::array<partition_state, claim_partition_count> partitions;
    std::uint64_t batches = 0;
};

[[nodiscard]] int partition_of(std::uint64_t key);

} // namespace postpaddle::service
