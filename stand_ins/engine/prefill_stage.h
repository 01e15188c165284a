// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <engine/engine_options.h>
#include <engine/prefix_cache.h>
#include <wire/asio.h>

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace postpaddle::stand_in {

/// A prompt that is queued or being computed.
struct prefill_job {
    explicit prefill_job(wire::asio::io_context& context) : wake(context) {
        this->wake.expires_at(wire::boot_timer::time_point::max());
    }

    std::string id;
    std::string prompt;
    std::string salt;
    int priority = 0;
    int tokens = 0;
    int cached_tokens = 0;
    bool is_running = false;
    bool is_done = false;
    bool is_cancelled = false;
    base::boot_clock::time_point started_at{};
    wire::boot_timer wake; ///< Never expires; cancelled to wake the waiting coroutine.
};

/// Computes one prompt at a time in order of priority, lowest value first, and retains the results until they
/// are fetched or expire.
class prefill_stage {
public:
    prefill_stage(wire::asio::io_context& context, const engine_options& options, engine_counters& counters);

    /// Queues a prompt and waits for its result. Returns false if it was cancelled.
    [[nodiscard]] bool run(const std::shared_ptr<prefill_job>& job, wire::yield_context yield);
    /// Cancels a queued or running prompt. A running one occupies the engine until its prefill time
    /// has elapsed.
    void cancel(const std::shared_ptr<prefill_job>& job);
    /// Cancels the prompt or drops the retained result with this id. Returns whether there was one.
    bool abort(const std::string& id);
    /// Simulates the transfer of a retained result. Returns false if the result is gone or the transfer
    /// stalled.
    [[nodiscard]] bool send_result(const std::string& id, bool should_stall, wire::yield_context yield);

    /// Ids of queued and running prompts and of retained results.
    [[nodiscard]] std::vector<std::string> request_ids() const;
    [[nodiscard]] int queued_tokens() const;

private:
    struct retained_result {
        int tokens = 0;
        int computed_tokens = 0;
        bool is_sending = false;
        std::unique_ptr<wire::boot_timer> expiry;
    };

    void run_worker(wire::yield_context yield);
    void retain(const prefill_job& job);
    void count_wasted_tokens(int tokens);
    [[nodiscard]] std::shared_ptr<prefill_job> pop_next();

    wire::asio::io_context* context;
    const engine_options* options;
    engine_counters* counters;
    prefix_cache cache;
    std::deque<std::shared_ptr<prefill_job>> queue;
    std::shared_ptr<prefill_job> running;
    std::map<std::string, retained_result> retained;
    bool is_worker_running = false;
    base::boot_clock::time_point link_free_at{};
};

} // namespace postpaddle::stand_in
