// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/streams/retained_cache.h>

#include <decision/stream_rules.h>
#include <gateway/endings/request_drain.h>
#include <gateway/engine_slots/engine_slot.h>
#include <gateway/upstreams/upstream_call.h>

namespace postpaddle::gateway {

namespace {

using namespace std::chrono_literals;

/// Poll interval while waiting for a slot.
constexpr base::duration poll_interval = 10ms;
/// Timeout of the release call. A cache that is not released expires by itself.
constexpr auto release_timeout = 500ms;
/// Limit on an acknowledgement that is not looked at.
constexpr std::size_t max_release_answer_bytes = 16UL * 1024;

/// The engine that retains a cache.
struct cache_source {
    base::zone_id zone;
    std::string software_version;
};

cache_source describe_source(gateway_state& state, const base::upstream_id& engine) {
    const decision::instance* const known = decision::find_instance(state.instances, engine);
    if (known == nullptr)
        return {};
    return {.zone = known->entry.availability_zone, .software_version = known->entry.software_version};
}

/// A decode engine of the source's software version where there is one, else of any that may serve.
std::optional<decision::engine_plan> choose_for_source(gateway_state& state, decision::choice_context context,
                                                       const settings::engine_capacity& capacity,
                                                       const decision::prompt_size& size,
                                                       const cache_source& source) {
    const auto choose = [&] {
        return decision::choose_decode(state.instances, context, capacity, size, source.zone, state.random);
    };
    if (context.software_version || source.software_version.empty())
        return choose();
    context.software_version = source.software_version;
    auto plan = choose();
    if (plan)
        return plan;
    context.software_version.reset();
    return choose();
}

} // namespace

void retained_cache::retain(ports::retained_prompt retained) {
    this->prompt = std::move(retained);
    this->retained_at = this->request->state->clock->now();
    this->refusals = 0;
    this->refused_by.clear();
}

base::duration retained_cache::age() const { return this->request->state->clock->now() - this->retained_at; }

std::optional<decision::engine_plan> retained_cache::await_decode_engine(const decision::prompt_size& size,
                                                                         wire::yield_context yield) {
    gateway_state& state = *this->request->state;
    const settings::engine_capacity capacity = capacity_of(*this->request);
    const cache_source source = describe_source(state, this->prompt->upstream);
    while (decision::is_prompt_retained(this->age(), capacity, this->refusals) &&
           !is_wait_over(*this->request)) {
        decision::choice_context context = choice_context_of(*this->request);
        const bool is_about_to_expire =
            state.process->policy.try_before_expiry && decision::is_prompt_expiring(this->age(), capacity);
        if (is_about_to_expire)
            context.excluded.insert(this->refused_by.begin(), this->refused_by.end());
        auto plan = choose_for_source(state, context, capacity, size, source);
        if (!plan && !is_about_to_expire && !decision::next_send_slot(state.instances, context))
            return std::nullopt;
        if (plan && (plan->has_room || is_about_to_expire))
            return plan;
        // The chosen engine failed or was full: wait, as a slot may become free.
        pause_request(*this->request, poll_interval, yield);
    }
    this->release();
    return std::nullopt;
}

void retained_cache::did_refuse(const base::upstream_id& engine, const ports::answer_facts& facts,
                                const decision::prompt_size& size) {
    this->refused_by.insert(engine);
    this->refusals += decision::may_be_full(facts.load, capacity_of(*this->request), size)
                          ? 1
                          : decision::max_refusals_of_retained;
}

void retained_cache::release() {
    if (!this->prompt)
        return;
    gateway_state& state = *this->request->state;
    wire::spawn_coroutine(*state.context, [&state, retained = *this->prompt](wire::yield_context yield) {
        const auto answer =
            call_upstream(state, retained.address, state.protocol.make_release(retained),
                          {.timeout = release_timeout, .body_bytes = max_release_answer_bytes}, yield);
        state.metrics->count(answer ? "kept_prompts_freed_total" : "kept_prompts_left_total");
    });
    this->prompt.reset();
}

} // namespace postpaddle::gateway
