// SPDX-License-Identifier: BSD-2-Clause
#include <engine/decode_stage.h>

#include <algorithm>

namespace postpaddle::stand_in {

decode_stage::decode_stage(wire::asio::io_context& context, const engine_options& options,
                           engine_counters& counters)
    : options(&options), counters(&counters), step_timer(context) {}

bool decode_stage::acquire_slot(const std::shared_ptr<decode_job>& job, wire::yield_context yield) {
    const auto insert_position =
        std::ranges::find_if(this->queue, [&](const auto& other) { return other->priority > job->priority; });
    this->queue.insert(insert_position, job);
    this->assign_slots();
    wire::error_code ignored;
    while (!job->has_slot && !job->is_cancelled)
        job->wake.async_wait(yield[ignored]);
    return job->has_slot && !job->is_cancelled;
}

void decode_stage::assign_slots() {
    while (!this->queue.empty() && static_cast<int>(this->active_jobs.size()) < this->options->decode_slots) {
        const auto job = this->queue.front();
        this->queue.erase(this->queue.begin());
        this->active_jobs.push_back(job);
        job->has_slot = true;
        job->wake.cancel();
    }
}

bool decode_stage::run(const std::shared_ptr<decode_job>& job, wire::yield_context yield) {
    ++this->counters->decodes;
    job->next_position = job->plan.first_position;
    job->is_stepping = true;
    if (!this->is_stepping) {
        this->is_stepping = true;
        this->step_timer.expires_after(std::chrono::microseconds(0));
        this->schedule_step();
    }
    wire::error_code ignored;
    while (job->is_stepping && !job->is_cancelled)
        job->wake.async_wait(yield[ignored]);
    return !job->is_cancelled && job->next_position >= job->plan.end_position;
}

void decode_stage::schedule_step() {
    const auto others = std::max<std::int64_t>(
        0, std::ranges::count_if(this->active_jobs, [](const auto& job) { return job->is_stepping; }) - 1);
    this->step_timer.expires_at(this->step_timer.expiry() + this->options->step_duration +
                                this->options->step_duration_per_request * others);
    this->step_timer.async_wait([this](const wire::error_code& error) {
        if (!error)
            this->step();
    });
}

void decode_stage::step() {
    const auto jobs = this->active_jobs;
    bool has_more = false;
    for (const auto& job : jobs) {
        if (!job->is_stepping || job->is_cancelled)
            continue;
        has_more = true;
        if (job->is_stalled)
            continue;
        const bool has_next =
            job->next_position < job->plan.end_position && job->on_token(job->next_position);
        ++job->next_position;
        ++this->counters->tokens;
        if (has_next && job->next_position < job->plan.end_position)
            continue;
        job->is_stepping = false;
        job->wake.cancel();
    }
    this->is_stepping = has_more;
    if (has_more)
        this->schedule_step();
}

void decode_stage::release_slot(const std::shared_ptr<decode_job>& job) {
    std::erase(this->queue, job);
    std::erase(this->active_jobs, job);
    this->assign_slots();
}

void decode_stage::cancel(decode_job& job) {
    job.is_cancelled = true;
    job.wake.cancel();
    if (job.on_cancel)
        job.on_cancel();
}

bool decode_stage::abort(const std::string& id) {
    bool was_found = false;
    for (const auto& jobs : {this->queue, this->active_jobs})
        for (const auto& job : jobs) {
            if (job->id != id)
                continue;
            cancel(*job);
            was_found = true;
        }
    return was_found;
}

std::vector<std::string> decode_stage::request_ids() const {
    std::vector<std::string> ids;
    for (const auto& job : this->queue)
        ids.push_back(job->id);
    for (const auto& job : this->active_jobs)
        ids.push_back(job->id);
    return ids;
}

} // namespace postpaddle::stand_in
