// SPDX-License-Identifier: BSD-2-Clause
#include <engine/prefill_stage.h>

#include <algorithm>

namespace postpaddle::stand_in {

using base::boot_clock;

namespace {

boot_clock::duration to_duration(double seconds) {
    return std::chrono::duration_cast<boot_clock::duration>(std::chrono::duration<double>(seconds));
}

} // namespace

prefill_stage::prefill_stage(wire::asio::io_context& context, const engine_options& options,
                             engine_counters& counters)
    : context(&context), options(&options), counters(&counters), cache(options.prefix_cache_blocks) {}

bool prefill_stage::run(const std::shared_ptr<prefill_job>& job, wire::yield_context yield) {
    const auto insert_position =
        std::ranges::find_if(this->queue, [&](const auto& other) { return other->priority > job->priority; });
    this->queue.insert(insert_position, job);
    if (!this->is_worker_running) {
        this->is_worker_running = true;
        wire::spawn_coroutine(*this->context,
                              [this](wire::yield_context worker) { this->run_worker(worker); });
    }
    wire::error_code ignored;
    while (!job->is_done && !job->is_cancelled)
        job->wake.async_wait(yield[ignored]);
    return job->is_done;
}

std::shared_ptr<prefill_job> prefill_stage::pop_next() {
    if (this->queue.empty())
        return nullptr;
    auto job = this->queue.front();
    this->queue.pop_front();
    return job;
}

void prefill_stage::run_worker(wire::yield_context yield) {
    while (const auto job = this->pop_next()) {
        this->running = job;
        job->is_running = true;
        job->started_at = boot_clock::now();
        job->cached_tokens = std::min(job->tokens - 1, this->cache.lookup_and_insert(job->prompt, job->salt));
        const int computed_tokens = job->tokens - job->cached_tokens;
        wire::boot_timer timer(*this->context);
        timer.expires_after(this->options->prefill_overhead +
                            to_duration(computed_tokens / this->options->prefill_tokens_per_second));
        wire::error_code ignored;
        timer.async_wait(yield[ignored]);
        this->running = nullptr;
        ++this->counters->prefills;
        this->counters->prefill_tokens += static_cast<std::uint64_t>(computed_tokens);
        if (job->is_cancelled) {
            this->count_wasted_tokens(computed_tokens);
            continue;
        }
        this->retain(*job);
        job->is_done = true;
        job->wake.cancel();
    }
    this->is_worker_running = false;
}

void prefill_stage::retain(const prefill_job& job) {
    retained_result result;
    result.tokens = job.tokens;
    result.computed_tokens = job.tokens - job.cached_tokens;
    result.expiry = std::make_unique<wire::boot_timer>(*this->context, this->options->prefill_retention);
    result.expiry->async_wait([this, id = job.id](const wire::error_code& error) {
        if (error)
            return;
        const auto found = this->retained.find(id);
        if (found == this->retained.end() || found->second.is_sending)
            return;
        this->count_wasted_tokens(found->second.computed_tokens);
        this->retained.erase(found);
    });
    this->retained[job.id] = std::move(result);
}

void prefill_stage::count_wasted_tokens(int tokens) {
    this->counters->wasted_prefill_tokens += static_cast<std::uint64_t>(tokens);
}

void prefill_stage::cancel(const std::shared_ptr<prefill_job>& job) {
    if (job->is_done || job->is_cancelled)
        return;
    job->is_cancelled = true;
    std::erase(this->queue, job);
    job->wake.cancel();
}

bool prefill_stage::abort(const std::string& id) {
    bool was_found = false;
    if (this->running && this->running->id == id) {
        this->cancel(this->running);
        was_found = true;
    }
    const auto queued = std::ranges::find(this->queue, id, &prefill_job::id);
    if (queued != this->queue.end()) {
        this->cancel(*queued);
        was_found = true;
    }
    const auto found = this->retained.find(id);
    if (found != this->retained.end()) {
        this->count_wasted_tokens(found->second.computed_tokens);
        this->retained.erase(found);
        was_found = true;
    }
    return was_found;
}

bool prefill_stage::send_result(const std::string& id, bool should_stall, wire::yield_context yield) {
    auto found = this->retained.find(id);
    if (found == this->retained.end())
        return false;
    wire::boot_timer timer(*this->context);
    wire::error_code ignored;
    if (should_stall) {
        // A stalled transfer does not mark the result as being sent, so the result still expires.
        timer.expires_after(std::chrono::seconds(30));
        timer.async_wait(yield[ignored]);
        return false;
    }
    found->second.is_sending = true;
    const double bytes = found->second.tokens * this->options->kv_bytes_per_token;
    const auto now = boot_clock::now();
    this->link_free_at =
        std::max(this->link_free_at, now) + to_duration(bytes / this->options->link_bytes_per_second);
    timer.expires_at(this->link_free_at);
    timer.async_wait(yield[ignored]);
    ++this->counters->transfers;
    return this->retained.erase(id) > 0;
}

std::vector<std::string> prefill_stage::request_ids() const {
    std::vector<std::string> ids;
    for (const auto& job : this->queue)
        ids.push_back(job->id);
    if (this->running && !this->running->is_cancelled)
        ids.push_back(this->running->id);
    for (const auto& [id, result] : this->retained)
        ids.push_back(id);
    return ids;
}

int prefill_stage::queued_tokens() const {
    int total = 0;
    for (const auto& job : this->queue)
        total += job->tokens;
    if (this->running) {
        const double seconds =
            std::chrono::duration<double>(boot_clock::now() - this->running->started_at).count();
        total += std::max(0, this->running->tokens - this->running->cached_tokens -
                                 static_cast<int>(seconds * this->options->prefill_tokens_per_second));
    }
    return total;
}

} // namespace postpaddle::stand_in
