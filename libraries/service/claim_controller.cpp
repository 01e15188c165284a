// SPDX-License-Identifier: BSD-2-Clause
#include <service/claim_controller.h>

#include <host/rendezvous.h>

#include <algorithm>
#include <map>

namespace postpaddle::service {

namespace {

using namespace std::chrono_literals;

/// Minimum time between two appends to a partition; limits 12 partitions to 96 appends per second.
constexpr base::duration min_append_interval = 125ms;
constexpr auto append_timeout = 800ms;
constexpr auto owner_call_timeout = 1'300ms;
constexpr auto outcome_send_interval = 500ms;
/// How long after a log failure claims that the table can't decide get `pending` without waiting for the log.
constexpr base::duration log_failure_backoff = 500ms;
/// Maximum age of claims in memory, even where the log retains them longer.
constexpr std::int64_t max_claim_age_ms = 24LL * 3600 * 1000;

std::string stream_name(int partition) { return "claims-" + std::to_string(partition); }

} // namespace

int partition_of(std::uint64_t key) { return static_cast<int>(key % claim_partition_count); }

claim_controller::claim_controller(control_context& control) : control(&control) {}

void claim_controller::start() {
    wire::asio::io_context& context = *this->control->context;
    this->control->claims->queries().set_on_ready([this, &context] {
        wire::asio::post(context, [this, &context] {
            wire::spawn_coroutine(context,
                                  [this](wire::yield_context yield) { this->forward_queued_claims(yield); });
        });
    });
    wire::spawn_coroutine(context, [this](wire::yield_context yield) { this->send_outcomes_forever(yield); });
}

std::optional<host::member> claim_controller::owner_of(int partition) const {
    return host::rendezvous_owner(this->control->working_hosts(), stream_name(partition));
}

void claim_controller::forward_queued_claims(wire::yield_context /*yield*/) {
    std::map<int, std::pair<claim_request, std::vector<std::function<void(host::claim_resolution)>>>> batches;
    for (claim_query& query : this->control->claims->queries().drain()) {
        const int partition = partition_of(query.claim.key);
        auto& [request, answers] = batches[partition];
        request.partition = partition;
        request.claims.push_back({query.claim, query.key_milliseconds});
        answers.push_back(std::move(query.answer));
    }
    for (auto& [partition, batch] : batches)
        wire::spawn_coroutine(*this->control->context,
                              [this, batch = std::move(batch)](wire::yield_context yield) {
                                  this->forward_claims(batch.first, batch.second, yield);
                              });
}

void claim_controller::forward_claims(const claim_request& request,
                                      std::vector<std::function<void(host::claim_resolution)>> answers,
                                      wire::yield_context yield) {
    std::vector<host::claim_resolution> verdicts;
    const auto owner = this->owner_of(request.partition);
    if (owner && this->control->is_self(*owner)) {
        verdicts = this->process(request, yield);
    } else if (owner) {
        const auto text = this->control->peers->call(owner->peers_address, "claim", encode(request),
                                                     owner_call_timeout, yield);
        if (text)
            verdicts = decode_claim_resolutions(*text).value_or(std::vector<host::claim_resolution>{});
    }
    // Claims without a verdict default to `pending`, so that their requests do not run.
    verdicts.resize(answers.size());
    for (std::size_t index = 0; index < answers.size(); ++index)
        answers[index](verdicts[index]);
}

void claim_controller::send_outcomes_forever(wire::yield_context yield) {
    std::map<int, claim_request> unsent;
    static constexpr std::size_t max_unsent_outcomes = 4096;
    while (!this->control->is_stopping) {
        this->control->pause(outcome_send_interval, yield);
        for (const host::claim_end& end : this->control->claims->ends().drain()) {
            claim_request& request = unsent[partition_of(end.key)];
            request.partition = partition_of(end.key);
            if (request.ends.size() < max_unsent_outcomes)
                request.ends.push_back(end);
        }
        for (auto& [partition, request] : unsent) {
            if (request.ends.empty())
                continue;
            const auto owner = this->owner_of(partition);
            if (!owner)
                continue;
            const bool is_owner = this->control->is_self(*owner);
            const bool is_sent = is_owner ? (static_cast<void>(this->process(request, yield)), true)
                                          : this->control->peers
                                                ->call(owner->peers_address, "claim", encode(request),
                                                       owner_call_timeout, yield)
                                                .has_value();
            if (is_sent)
                request.ends.clear();
        }
    }
}

std::string claim_controller::answer(const std::string& payload, wire::yield_context yield) {
    const auto request = decode_claim_request(payload);
    const bool is_valid = request && request->partition >= 0 && request->partition < claim_partition_count;
    return encode(is_valid ? this->process(*request, yield) : std::vector<host::claim_resolution>{});
}

std::vector<host::claim_resolution> claim_controller::process(const claim_request& request,
                                                              wire::yield_context yield) {
    partition_state& state = this->partitions.at(static_cast<std::size_t>(request.partition));
    state.ends.insert(state.ends.end(), request.ends.begin(), request.ends.end());
    const auto deadline = this->control->clock->now() + append_timeout;
    std::vector<std::shared_ptr<waiting_claim>> items;
    for (const timed_claim& timed : request.claims) {
        auto item = std::make_shared<waiting_claim>();
        item->timed = timed;
        item->wake = std::make_shared<wire::boot_timer>(*this->control->context);
        item->wake->expires_at(deadline);
        state.waiting.push_back(item);
        items.push_back(std::move(item));
    }
    if (!state.is_flushing && (!state.waiting.empty() || !state.ends.empty())) {
        state.is_flushing = true;
        wire::spawn_coroutine(*this->control->context,
                              [this, partition = request.partition](wire::yield_context flusher) {
                                  this->flush(partition, flusher);
                              });
    }
    std::vector<host::claim_resolution> answers;
    for (const auto& item : items) {
        wire::error_code ignored;
        if (!item->is_done)
            item->wake->async_wait(yield[ignored]);
        answers.push_back(item->is_done ? item->answer : host::claim_resolution{});
        item->is_done = true;
    }
    return answers;
}

void claim_controller::flush(int partition, wire::yield_context yield) {
    partition_state& state = this->partitions.at(static_cast<std::size_t>(partition));
    while (!state.waiting.empty() || !state.ends.empty()) {
        const base::time_point now = this->control->clock->now();
        const bool has_failed_recently = now - state.log_failed_at < log_failure_backoff;
        if (has_failed_recently && state.log_failed_at != base::time_point{}) {
            this->resolve_waiting(state, true);
            if (state.waiting.empty())
                break;
        }
        if (now < state.last_append + min_append_interval)
            this->control->pause(state.last_append + min_append_interval - now, yield);
        this->flush_once(partition, yield);
    }
    state.is_flushing = false;
}

void claim_controller::flush_once(int partition, wire::yield_context yield) {
    partition_state& state = this->partitions.at(static_cast<std::size_t>(partition));
    if (!this->catch_up(partition, yield)) {
        state.log_failed_at = this->control->clock->now();
        this->resolve_waiting(state, true);
        return;
    }
    // Claims that the log already decides need no append.
    this->resolve_waiting(state, false);
    host::claim_batch batch;
    batch.id = this->control->members.self.name.value + "-" + std::to_string(++this->batches);
    batch.wall_milliseconds = this->control->wall_milliseconds();
    for (const auto& item : state.waiting)
        batch.claims.push_back(item->timed.claim);
    batch.ends = std::exchange(state.ends, {});
    if (batch.claims.empty() && batch.ends.empty())
        return;
    state.last_append = this->control->clock->now();
    ++this->control->process_metrics->counters.log_appends;
    const auto appended =
        this->control->log->append(stream_name(partition), host::encode_batch(batch), append_timeout, yield);
    // A failed append may still have taken effect, so verdicts come only from reading the log back.
    const bool is_read = this->catch_up(partition, yield);
    if (!appended || !is_read) {
        state.log_failed_at = this->control->clock->now();
        // Outcomes are appended again; applying them is idempotent.
        state.ends.insert(state.ends.end(), batch.ends.begin(), batch.ends.end());
        this->resolve_waiting(state, true);
        return;
    }
    state.log_failed_at = {};
    this->resolve_waiting(state, false);
    host::evict_before(state.table, batch.wall_milliseconds - max_claim_age_ms);
}

bool claim_controller::catch_up(int partition, wire::yield_context yield) {
    host::claim_table& table = this->partitions.at(static_cast<std::size_t>(partition)).table;
    while (true) {
        const auto page = this->control->log->read(stream_name(partition), table.next_offset, 0ms, yield);
        if (!page)
            return false;
        if (page->earliest > table.next_offset) {
            const auto first =
                page->records.empty() ? std::nullopt : host::decode_batch(page->records.front().payload);
            host::did_trim(table, page->earliest,
                           first ? first->wall_milliseconds : this->control->wall_milliseconds());
        }
        for (const wire::log_record& record : page->records)
            host::apply_claims(table, record.offset, record.payload);
        if (table.next_offset >= page->next)
            return true;
    }
}

void claim_controller::resolve_waiting(partition_state& state, bool is_final) {
    for (const auto& item : state.waiting) {
        if (item->is_done)
            continue;
        const host::claim_resolution answer =
            host::resolve_claim(state.table, item->timed.claim, item->timed.key_milliseconds);
        if (answer.verdict == host::claim_verdict::pending && !is_final)
            continue;
        item->answer = answer;
        item->is_done = true;
        item->wake->cancel();
    }
    std::erase_if(state.waiting, [](const auto& item) { return item->is_done; });
}

std::size_t claim_controller::claim_count() const {
    std::size_t total = 0;
    for (const partition_state& state : this->partitions)
        total += state.table.entries.size();
    return total;
}

} // namespace postpaddle::service
