// SPDX-License-Identifier: BSD-2-Clause
#include <service/state_dump.h>

#include <array>

namespace postpaddle::service {

namespace {

const char* to_text(decision::phase phase) {
    static constexpr std::array names = {"queued", "prefilling", "kept", "transferring", "decoding", "ended"};
    return names.at(static_cast<std::size_t>(phase));
}

json dump_engine(const decision::engine_state& engine, base::time_point now) {
    return {{"upstream", engine.facts.id.value},
            {"zone", engine.facts.zone.value},
            {"present", engine.is_present},
            {"leaving", decision::is_leaving_or_draining(engine)},
            {"usable", decision::is_usable(engine, now)},
            {"failures", engine.health.failures},
            {"share", engine.share},
            {"places", decision::own_slots(engine)},
            {"promised_places", decision::reserved_slots(engine)},
            {"own_prompt_tokens", engine.own_prompt_tokens.front() + engine.own_prompt_tokens.back()},
            {"prompt_tokens_per_second", engine.prompt_rate.value},
            {"seconds_per_token", engine.token_seconds.value},
            {"reported_active", engine.report.active_decodes},
            {"reported_waiting", engine.report.waiting_decodes}};
}

json dump_counters(const decision::router_counters& counters) {
    return {{"arrived", counters.arrived},
            {"refused", counters.refused},
            {"completed", counters.completed},
            {"failed", counters.failed},
            {"cancelled", counters.cancelled},
            {"retries", counters.retries},
            {"kv_reused", counters.kv_reused},
            {"prefill_tokens", counters.prefill_tokens},
            {"wasted_prefill_tokens", counters.wasted_prefill_tokens},
            {"ignored_events", counters.ignored_events}};
}

json dump_requests(const decision::router_state& state, base::time_point now) {
    json requests = json::array();
    for (const auto& [id, request] : state.requests)
        requests.push_back({{"id", id.value},
                            {"organisation", request.facts.organisation.value},
                            {"phase", to_text(request.at)},
                            {"age_ms", base::to_milliseconds(now - request.arrived)},
                            {"attempt", request.attempt},
                            {"holds", request.holds.size()}});
    return requests;
}

json dump_errors(const std::array<decision::estimate_errors, 2>& errors) {
    static constexpr double milliseconds_per_second = 1000;
    json rows = json::object();
    for (const bool is_beyond : {false, true}) {
        const decision::estimate_errors& class_errors = errors.at(is_beyond ? 1 : 0);
        rows[is_beyond ? "beyond_share" : "within_share"] = {
            {"prefill_late", class_errors.prefill_bias * milliseconds_per_second},
            {"prefill_spread", class_errors.prefill_abs_error * milliseconds_per_second},
            {"first_token_late", class_errors.first_token_bias * milliseconds_per_second},
            {"first_token_spread", class_errors.first_token_abs_error * milliseconds_per_second}};
    }
    return rows;
}

} // namespace

json dump_router(const decision::router_state& state, base::time_point now) {
    json engines = json::array();
    for (const decision::engine_state& engine : state.engines)
        engines.push_back(dump_engine(engine, now));
    json queues = json::object();
    for (const auto& [name, deployment] : state.deployments)
        queues[name] = {{"length", deployment.queue.length},
                        {"queued_seconds", deployment.queue.queued_cost},
                        {"output_ratio", deployment.output_ratio.value}};
    return {{"engines", engines},
            {"queues", queues},
            {"requests", dump_requests(state, now)},
            {"counters", dump_counters(state.counters)},
            {"estimate_errors_ms", dump_errors(state.errors)},
            {"retries_left", decision::retries_left(state.retries, state.options.retry_budget, now)},
            {"remembered_prefixes", state.prefixes.size()}};
}

json dump_control(const control_thread& control, base::time_point now) {
    const control_context& state = control.state();
    json members = json::array();
    json self = to_json(state.members.self);
    self["life"] = host::to_text(state.members.self.life);
    members.push_back(self);
    for (const auto& [name, known] : state.members.others) {
        json entry = to_json(known.entry);
        entry["life"] = host::to_text(known.entry.life);
        members.push_back(entry);
    }
    json verdicts = json::array();
    for (const settings::change_verdict& verdict : state.replayed_settings.verdicts)
        verdicts.push_back({{"change_id", verdict.change_id},
                            {"offset", verdict.offset},
                            {"accepted", verdict.is_accepted},
                            {"reason", verdict.reason},
                            {"author", verdict.author}});
    json leaving = json::array();
    for (const base::upstream_id& id : state.upstreams->leaving())
        leaving.push_back(id.value);
    const bool has_log_response = state.last_log_response_at.has_value();
    return {{"members", members},
            {"settings",
             {{"revision", state.replayed_settings.revision},
              {"next_offset", state.replayed_settings.next_offset},
              {"judging", state.replayed_settings.phase == settings::replay_phase::evaluating},
              {"malformed_records", state.replayed_settings.malformed_records},
              {"verdicts", verdicts}}},
            {"log_age_ms", has_log_response ? json(base::to_milliseconds(now - *state.last_log_response_at))
                                            : json(nullptr)},
            {"organisation_shares", state.limits->shares(now)},
            {"remembered_claims", control.claims().claim_count()},
            {"leaving_upstreams", leaving}};
}

json dump_explanation(const decision::explanation& explanation) {
    json candidates = json::array();
    for (const decision::candidate_pair& pair : explanation.candidates)
        candidates.push_back({{"prefill", pair.prefill.value},
                              {"decode", pair.decode.value},
                              {"first_token_ms", pair.first_token_ms},
                              {"place_wait_ms", pair.slot_wait_ms},
                              {"cached_tokens", pair.cached_tokens}});
    json trace = json::array();
    for (const decision::trace_entry& entry : explanation.entries)
        trace.push_back({{"at_ms", entry.at_ms}, {"what", entry.what}});
    return {{"request_id", explanation.id.value},
            {"organisation", explanation.organisation.value},
            {"weighed", candidates},
            {"story", trace},
            {"wasted_prefill_tokens", explanation.wasted_prefill_tokens}};
}

} // namespace postpaddle::service
