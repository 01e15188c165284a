// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/upstreams/stall_monitor.h>

#include <gateway/forwarding/upstream_reach.h>
#include <gateway/upstreams/upstream_call.h>
#include <wire/http_client.h>

#include <algorithm>
#include <exception>

namespace postpaddle::gateway {

namespace {

using namespace std::chrono_literals;

/// Interval of looks at a send that is silent beyond its limit: what another attempt needs may be had then.
constexpr base::duration look_interval = 100ms;
/// A look that is later than this shows that this host was held up.
constexpr base::duration max_look_delay = 50ms;
/// Calls for a sign of life in progress beyond which no further upstream is asked on behalf of others: many
/// runs may fall silent at once.
constexpr std::size_t max_life_probes = 16;
/// Timeout of a call for a sign of life, which takes no slot at the upstream.
constexpr auto life_probe_timeout = 400ms;

void count_probe(gateway_state& state, bool is_answered) {
    state.metrics->count(is_answered ? "life_probes_total{result=\"answered\"}"
                                     : "life_probes_total{result=\"silent\"}");
}

/// Asks the upstream for its report, unless it is being asked already. Any answer is a sign of life.
void probe_life(gateway_state& state, const base::upstream_id& id) {
    const decision::instance* const target = decision::find_instance(state.instances, id);
    if (target == nullptr || !state.life_probes.insert(id).second)
        return;
    wire::spawn_coroutine(*state.context, [&state, id, address = target->entry.address,
                                           start = target->entry.start_time_ms](wire::yield_context yield) {
        const auto answer =
            call_upstream(state, address, state.protocol.make_report_request(id, address),
                          {.timeout = life_probe_timeout, .body_bytes = max_report_bytes}, yield);
        state.life_probes.erase(id);
        count_probe(state, answer.has_value());
        const decision::instance* const asked = decision::find_instance(state.instances, id);
        if (!answer)
            did_get_no_answer(state, id);
        else if (asked != nullptr && asked->entry.start_time_ms == start)
            record_sign_of_life(state, id);
    });
}

/// Asks another host for anything, unless it is being asked already. An unknown path has an answer as well.
void probe_life(gateway_state& state, const base::host_id& host) {
    static constexpr const char* path = "/peers/alive";
    const auto found = state.peers.by_name.find(host);
    if (found == state.peers.by_name.end() || !state.host_life_probes.insert(host).second)
        return;
    wire::spawn_coroutine(
        *state.context, [&state, host, address = found->second.address](wire::yield_context yield) {
            const auto answer =
                wire::fetch_bounded(*state.forwarding_pool, address, wire::get_request(path),
                                    {.timeout = life_probe_timeout, .body_bytes = max_report_bytes}, yield);
            state.host_life_probes.erase(host);
            count_probe(state, answer.has_value());
            if (answer)
                host::record_received(state.peers, host, state.clock->now());
        });
}

} // namespace

stall_monitor::stall_monitor(gateway_request& request, stall_source source, stall_monitor_options options)
    : request(&request), source(std::move(source)), options(std::move(options)) {}

base::duration stall_monitor::silence() const {
    return this->request->state->clock->now() - this->silent_since;
}

base::time_point stall_monitor::did_progress() {
    const base::time_point now = this->request->state->clock->now();
    if (this->silent_since != base::time_point{}) {
        this->stalls.longest = std::max(this->stalls.longest, this->silence());
        if (this->silence() >= this->options.limits.limit)
            this->end_stall(decision::stall_end::recovered);
    }
    this->silent_since = now;
    this->unfinished_since.reset();
    this->unfinished = {};
    this->is_postponed = false;
    this->others_in_silence.clear();
    this->shared_at.reset();
    return this->look_at(now + decision::silence_before_probe(this->options.limits.limit));
}

base::time_point stall_monitor::look_at(base::time_point due) {
    this->look_due = std::min(this->request->deadline, due);
    return this->look_due;
}

bool stall_monitor::should_postpone(base::time_point now) {
    this->is_postponed = !this->is_postponed && now - this->look_due > max_look_delay;
    return this->is_postponed;
}

void stall_monitor::did_receive_unfinished() {
    const base::time_point now = this->request->state->clock->now();
    if (!this->unfinished_since)
        this->unfinished_since = now;
    this->unfinished = now - *this->unfinished_since;
}

decision::other_upstreams stall_monitor::look_at_others(base::time_point now) {
    const base::duration limit = this->options.limits.limit;
    decision::other_upstreams others;
    int asked = 0;
    this->others_in_silence.clear();
    for (const base::upstream_id& id :
         this->source.others ? this->source.others() : std::vector<base::upstream_id>{}) {
        const base::time_point heard_at = this->source.other_heard_at(id);
        const bool is_due =
            heard_at <= this->silent_since || now - heard_at >= decision::age_before_next_probe(limit);
        if (is_due && asked < max_asked_at_a_look) {
            this->source.request_sign_of_other(id);
            ++asked;
        }
        if (decision::is_sign_of_life(heard_at, this->silent_since, limit, now)) {
            ++others.alive;
        } else {
            ++others.silent;
            this->others_in_silence.insert(id);
        }
    }
    if (this->shared_at)
        others.since_shared = now - *this->shared_at;
    return others;
}

std::optional<base::time_point> stall_monitor::look() {
    // A timer asks, which nothing above would catch an exception from: the process would end.
    try {
        return this->judge();
    } catch (const std::exception&) {
        this->request->state->metrics->count("look_exceptions_total");
        return this->look_at(this->request->state->clock->now() + look_interval);
    }
}

std::optional<base::time_point> stall_monitor::judge() {
    const base::time_point now = this->request->state->clock->now();
    const base::duration silent = this->silence();
    if (now >= this->request->deadline)
        return std::nullopt;
    const base::duration limit = this->options.limits.limit;
    const base::duration probe_after = decision::silence_before_probe(limit);
    // There may have been progress since the time of this look was set.
    if (silent < probe_after)
        return this->look_at(this->silent_since + probe_after);
    const base::time_point heard_at = this->source.heard_at();
    if (heard_at <= this->silent_since || now - heard_at >= decision::age_before_next_probe(limit))
        this->source.request_sign_of_life();
    const decision::other_upstreams others = this->look_at_others(now);
    if (silent < limit)
        return this->look_at(this->silent_since + limit);
    if (this->should_postpone(now))
        return this->look_at(now + std::min<base::duration>(limit - probe_after, life_probe_timeout));
    if (decision::is_silence_shared(others)) {
        this->shared_at = now;
        this->stalls.was_shared = true;
    }
    const decision::stall_history* const history = this->source.history();
    this->stalls.was_alive = decision::is_sign_of_life(heard_at, this->silent_since, limit, now);
    const decision::stall_facts facts = {
        .silent = silent,
        .limit = limit,
        .takeover_limit = this->options.limits.takeover_limit,
        .unfinished = this->unfinished,
        .is_alive = this->stalls.was_alive,
        .is_recovery_expected = history == nullptr || decision::is_recovery_expected(*history, now),
        .ending = this->options.limits.ending};
    const bool is_replaced = decision::should_replace(facts, others) && this->options.try_claim_next();
    if (!is_replaced && !decision::should_give_up_alone(facts, others))
        return this->look_at(now + look_interval);
    this->stalls.is_given_up = true;
    return std::nullopt;
}

void stall_monitor::did_end() {
    this->stalls.longest = std::max(this->stalls.longest, this->silence());
    if (this->silence() >= this->options.limits.limit && !this->request->cancellation->is_caller_gone)
        this->end_stall(decision::stall_end::lost);
}

void stall_monitor::end_stall(decision::stall_end end) {
    gateway_state& state = *this->request->state;
    const bool is_recovered = end == decision::stall_end::recovered;
    state.metrics->count(is_recovered               ? "stalls_total{end=\"recovered\"}"
                         : this->stalls.is_given_up ? "stalls_total{end=\"replaced\"}"
                                                    : "stalls_total{end=\"lost\"}");
    // An upstream without any sign of life is left anyway.
    decision::stall_history* const history = this->source.history();
    if (history != nullptr && (is_recovered || this->stalls.was_alive))
        decision::record_stall(*history, end, state.clock->now());
}

stall_source upstream_source(gateway_state& state, const base::upstream_id& id) {
    return {.heard_at =
                [&state, id] {
                    const decision::instance* const target = decision::find_instance(state.instances, id);
                    return target == nullptr ? base::time_point{} : target->heard_at;
                },
            .request_sign_of_life = [&state, id] { probe_life(state, id); },
            .history =
                [&state, id] {
                    decision::instance* const target = decision::find_instance(state.instances, id);
                    return target == nullptr ? nullptr : &target->stalls;
                }};
}

stall_source upstream_source(gateway_state& state, const base::upstream_id& id,
                             std::function<std::vector<base::upstream_id>()> others) {
    stall_source source = upstream_source(state, id);
    source.others = std::move(others);
    source.other_heard_at = [&state](const base::upstream_id& other) {
        const decision::instance* const known = decision::find_instance(state.instances, other);
        return known == nullptr ? base::time_point{} : known->heard_at;
    };
    source.request_sign_of_other = [&state](const base::upstream_id& other) {
        if (state.life_probes.size() < max_life_probes)
            probe_life(state, other);
    };
    return source;
}

stall_source answer_only_source() {
    return {.heard_at = [] { return base::time_point{}; },
            .request_sign_of_life = [] {},
            .history = [] { return nullptr; }};
}

stall_source host_source(gateway_state& state, const base::host_id& host) {
    return {.heard_at =
                [&state, host] {
                    const auto found = state.peers.by_name.find(host);
                    return found == state.peers.by_name.end() ? base::time_point{} : found->second.last_seen;
                },
            .request_sign_of_life = [&state, host] { probe_life(state, host); },
            .history = [] { return nullptr; }};
}

void record_sign_of_life(gateway_state& state, const base::upstream_id& id) {
    if (decision::instance* const target = decision::find_instance(state.instances, id))
        target->heard_at = state.clock->now();
}

base::duration takeover_time(const gateway_request& request, double prompt_tokens) {
    const decision::engine_speed& speed = profile_of(request).speed;
    return base::from_seconds(decision::decode_prefill_factor *
                                  decision::unqueued_prefill_seconds(speed, prompt_tokens) +
                              speed.first_event.value);
}

} // namespace postpaddle::gateway
