// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <common/generated_text.h>
#include <engine/engine_options.h>
#include <wire/asio.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace postpaddle::stand_in {

/// A request that is being decoded or waits for a slot.
struct decode_job {
    explicit decode_job(wire::asio::io_context& context) : wake(context) {
        this->wake.expires_at(wire::boot_timer::time_point::max());
    }

    std::string id;
    int priority = 0;
    generation_plan plan;
    int next_position = 0;
    bool has_slot = false;
    bool is_stepping = false;
    bool is_stalled = false; ///< Holds its slot without producing tokens.
    bool is_cancelled = false;
    std::function<void()> on_cancel; ///< Cancels the KV cache transfer in progress.
    /// Sends the token at a position. Returns false to end the generation.
    std::function<bool(int position)> on_token;
    wire::boot_timer wake; ///< Never expires; cancelled to wake the waiting coroutine.
};

/// Decodes requests in a continuous batch: each step produces one token for every active request.
class decode_stage {
public:
    decode_stage(wire::asio::io_context& context, const engine_options& options, engine_counters& counters);

    /// Waits for a slot in order of priority, lowest value first. Returns false if the request was cancelled.
    [[nodiscard]] bool acquire_slot(const std::shared_ptr<decode_job>& job, wire::yield_context yield);
    /// Produces all tokens. Returns false if the request was cancelled or ended before the last one.
    [[nodiscard]] bool run(const std::shared_ptr<decode_job>& job, wire::yield_context yield);
    /// Releases the slot, or removes the request from the queue.
    void release_slot(const std::shared_ptr<decode_job>& job);
    /// Cancels a request that is waiting, fetching its KV cache or being decoded.
    static void cancel(decode_job& job);
    /// Cancels the request with this id. Returns whether there was one.
    bool abort(const std::string& id);

    [[nodiscard]] std::vector<std::string> request_ids() const;
    [[nodiscard]] int active_count() const { return static_cast<int>(this->active_jobs.size()); }
    [[nodiscard]] int waiting_count() const { return static_cast<int>(this->queue.size()); }

private:
    void assign_slots();
    void schedule_step();
    void step();

    const engine_options* options;
    engine_counters* counters;
    std::vector<std::shared_ptr<decode_job>> queue;
    std::vector<std::shared_ptr<decode_job>> active_jobs;
    wire::boot_timer step_timer;
    bool is_stepping = false;
};

} // namespace postpaddle::stand_in
