// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/store_sync/store_watch.h>

#include <gateway/store_sync/feed_ending.h>
#include <gateway/store_sync/registry_doubt.h>

#include <utility>

namespace postpaddle::gateway {

namespace {

using namespace std::chrono_literals;

/// Fraction of the bound between two checks of a follower whether it must read the store itself. When it
/// must, half of the bound is over; this is a tenth of the rest. Proportional to the bound, so that long
/// bounds cause few wakeups.
constexpr double follow_check_fraction = 0.05;
/// Fraction of the bound for which a host waits for other hosts to confirm a listing of the registry.
constexpr double confirmation_fraction = 0.1;
constexpr base::duration confirmation_check_interval = 10ms;

} // namespace

store_watch::store_watch(gateway_state& state, ports::control_feed& feed, peer_datagrams& datagrams,
                         callbacks handlers)
    : state(&state), feed(&feed), handlers(std::move(handlers)), settings(*state.context, "settings"),
      registry(*state.context, "registry"),
      updates(state, datagrams, this->settings.progress, this->registry.progress),
      queries(state, datagrams, this->registry.progress, this->updates) {}

void store_watch::start() {
    this->updates.start(
        {.on_undated_update = [this](const base::host_id& host) { this->queries.ask_clock_of(host); },
         .on_gap = [this] { this->queries.ask_soon(); }});
    this->queries.start();
    this->state->on_registry_received = [this](const ports::registry_page& page,
                                               base::time_point known_until) {
        if (this->updates.take_over(page, known_until))
            this->state->metrics->count("registries_taken_over_total");
    };
    wire::spawn_coroutine(*this->state->context,
                          [this](wire::yield_context yield) { this->watch_settings(yield); });
    wire::spawn_coroutine(*this->state->context,
                          [this](wire::yield_context yield) { this->watch_registry(yield); });
}

void store_watch::pause(base::duration length, wire::yield_context yield) {
    wire::boot_timer timer(*this->state->context, length);
    wire::error_code ignored;
    timer.async_wait(yield[ignored]);
}

void store_watch::log_unavailable(const topic& read, const ports::feed_error& error,
                                  host::read_ending ending) {
    this->state->log->write_always("dependency_lost", {{"dependency", std::string("store ") + read.name},
                                                       {"ending", host::to_text(ending)},
                                                       {"failure", ports::to_text(error.failure)},
                                                       {"detail", error.detail},
                                                       {"arrived_bytes", error.arrived_bytes},
                                                       {"reads_open", host::reads_open(read.reader)}});
}

void store_watch::did_arrive(topic& read, host::store_read& plan) {
    const base::time_point now = this->state->clock->now();
    host::did_receive_part(read.reader, plan, now);
    if (&read == &this->settings && !this->state->store_transfer_since)
        this->state->store_transfer_since = now;
}

void store_watch::did_end(topic& read) {
    if (&read == &this->settings && read.reader.arriving == 0)
        this->state->store_transfer_since.reset();
    read.wake.cancel();
}

void store_watch::did_reach_end(topic& read, read_outcome outcome, const host::store_read& plan,
                                base::time_point began) {
    const bool has_waited = this->state->clock->now() - began >= plan.wait;
    const bool was_idle = outcome == read_outcome::nothing_new && has_waited;
    const base::time_point until = was_idle ? began + plan.wait : began;
    host::record_known(read.progress.leadership, until);
    if (&read == &this->registry)
        this->did_learn(until);
}

void store_watch::did_learn(base::time_point until) {
    this->state->registry_known_until = std::max(this->state->registry_known_until, until);
    this->state->is_registry_read_failing = false;
}

void store_watch::run_read(topic& read, read_function function, host::store_read plan,
                           wire::yield_context yield) {
    const base::time_point began = this->state->clock->now();
    const bool waits_for_record = plan.wait > std::chrono::milliseconds::zero() && read.progress.has_offset;
    const ports::read_timeouts timeouts = {
        .wait = plan.wait, .limit = plan.limit, .on_part = [&] { this->did_arrive(read, plan); }};
    const auto result = (this->*function)(timeouts, yield);
    if (result)
        this->did_answer(read, *result, plan, began, yield);
    else
        this->did_fail(read, result.error(), plan, {.began = began, .waits_for_record = waits_for_record},
                       yield);
    this->did_end(read);
}

void store_watch::did_answer(topic& read, read_outcome outcome, const host::store_read& plan,
                             base::time_point began, wire::yield_context yield) {
    this->state->metrics->count("store_reads_total");
    read.progress.leadership.behind_since.reset();
    const bool has_reached_end = outcome == read_outcome::records || outcome == read_outcome::nothing_new;
    const bool is_complete = &read != &this->registry || !this->has_gap();
    if (has_reached_end && is_complete)
        this->did_reach_end(read, outcome, plan, began);
    if (&read == &this->registry)
        this->is_listing_unconfirmed = outcome == read_outcome::listing;
    if (outcome == read_outcome::listing)
        this->queries.ask_soon();
    this->updates.did_read();
    const bool may_pause = &read == &this->registry && has_reached_end;
    if (!is_complete) {
        this->record_uninformed();
        this->pause(host::min_probe_interval, yield);
    } else if (may_pause && plan.wait > std::chrono::milliseconds::zero()) {
        this->pause_after_changes(yield);
    }
    this->did_regain(read, plan, began);
}

void store_watch::did_regain(topic& read, const host::store_read& plan, base::time_point began) {
    if (host::did_answer(read.reader, plan, began))
        this->state->log->write_always("dependency_regained",
                                       {{"dependency", std::string("store ") + read.name}});
}

void store_watch::did_fail(topic& read, const ports::feed_error& error, const host::store_read& plan,
                           const read_start& start, wire::yield_context yield) {
    const host::read_ending ending = ending_of({.failure = error.failure,
                                                .waits_for_record = start.waits_for_record,
                                                .took = this->state->clock->now() - start.began,
                                                .limit = plan.wait + plan.limit});
    this->state->metrics->count(std::string("store_reads_failed_total{topic=\"") + read.name +
                                "\",ending=\"" + host::to_text(ending) + "\"}");
    this->state->metrics->count("store_bytes_given_up_total", error.arrived_bytes);
    if (ending == host::read_ending::history_lost) {
        this->record_ending(read, ending);
        this->did_lose_history(read, error.first_kept, yield);
        this->did_regain(read, plan, start.began);
        return;
    }
    this->state->metrics->count("store_failures_total");
    const bool is_whole =
        error.failure != ports::feed_failure::unreachable && error.failure != ports::feed_failure::cut;
    const auto failure = is_whole ? host::read_failure::refusal : host::read_failure::no_answer;
    if (host::did_fail(read.reader, plan, failure, start.began))
        this->log_unavailable(read, error, ending);
    // A later read was answered, if the store doesn't count as unavailable.
    if (read.reader.is_unavailable)
        this->record_ending(read, ending);
}

void store_watch::record_ending(const topic& read, host::read_ending ending) {
    if (&read != &this->registry)
        return;
    const host::store_proof proof = host::evidence_of(ending).proof;
    host::record_read(this->state->registry_outage, outage_options_of(*this->state), ending,
                      this->state->clock->now());
    this->state->registry_read_ending = ending;
    if (proof != host::store_proof::present)
        this->state->is_registry_read_failing = true;
    else if (ending == host::read_ending::rejected)
        this->record_uninformed();
}

void store_watch::record_uninformed() {
    this->state->is_registry_read_failing = false;
    host::record_uninformed(this->state->registry_doubt, this->state->process->name,
                            this->state->clock->now());
}

void store_watch::read_or_follow(topic& read, std::chrono::milliseconds bound, read_function function,
                                 wire::yield_context yield) {
    read.reader.bound = bound;
    const base::time_point known_until = read.progress.leadership.known_until;
    // A listing is confirmed at once, without waiting for a record.
    if (&read == &this->registry)
        read.reader.known_until = known_until;
    read.reader.wait_fraction = host::wait_fraction(this->state->position_in_cell);
    read.reader.probe_interval = host::probe_interval(this->state->position_in_cell, bound);
    if (&read == &this->registry)
        this->update_listing();
    if (&read == &this->registry && this->is_confirmation_pending(bound)) {
        this->pause(confirmation_check_interval, yield);
        return;
    }
    if (this->updates.must_read(read.progress, bound)) {
        this->run_due_reads(read, function, yield);
        return;
    }
    read.reader.is_stale = true;
    this->pause(base::scaled(bound, follow_check_fraction), yield);
}

void store_watch::run_due_reads(topic& read, read_function function, wire::yield_context yield) {
    if (const auto plan = host::next_read(read.reader, this->state->clock->now()))
        wire::spawn_coroutine(*this->state->context,
                              [this, &read, function, plan = *plan](wire::yield_context own) {
                                  this->run_read(read, function, plan, own);
                              });
    read.wake.expires_after(host::read_check_interval);
    wire::error_code ignored;
    read.wake.async_wait(yield[ignored]);
}

void store_watch::update_listing() {
    // Other hosts may have confirmed the listing.
    if (this->registry.progress.leadership.known_until >= this->listed_at)
        this->is_listing_unconfirmed = false;
}

bool store_watch::is_confirmation_pending(std::chrono::milliseconds bound) const {
    const host::cell_position& position = this->state->position_in_cell;
    const bool is_first_to_read = position.hosts > 0 && host::is_leader(position);
    const base::duration longest = base::scaled(bound, confirmation_fraction);
    return this->is_listing_unconfirmed && !is_first_to_read && this->updates.can_receive() &&
           count_other_hosts(*this->state) > 0 && this->state->clock->now() - this->listed_at < longest;
}

void store_watch::did_lose_history(topic& read, std::uint64_t first_kept, wire::yield_context yield) {
    this->state->log->write_always(
        "store_history_lost",
        {{"topic", read.name}, {"next_offset", read.progress.next_offset}, {"first_kept", first_kept}});
    read.progress.has_offset = false;
    if (&read == &this->registry)
        this->log_begin = std::max(this->log_begin, first_kept);
    // The topic is listed at once, but not in a loop while it loses its history again and again.
    const base::time_point now = this->state->clock->now();
    if (now - std::exchange(read.history_lost_at, now) < host::min_probe_interval)
        this->pause(host::min_probe_interval, yield);
}

store_watch::read_outcome store_watch::outcome_of(bool is_empty, bool has_more) {
    if (has_more)
        return read_outcome::part;
    return is_empty ? read_outcome::nothing_new : read_outcome::records;
}

store_watch::read_result store_watch::read_settings(const ports::read_timeouts& timeouts,
                                                    wire::yield_context yield) {
    topic_progress& own = this->settings.progress;
    // Updates may move the offset on during the read.
    const std::optional<std::uint64_t> from = own.has_offset ? std::optional(own.next_offset) : std::nullopt;
    auto page = own.has_offset ? this->feed->settings_after(own.next_offset, timeouts, yield)
                               : this->feed->newest_settings(timeouts, yield);
    if (!page)
        return tl::make_unexpected(page.error());
    const bool is_empty = page->next == from;
    own.next_offset = std::max(own.next_offset, page->next);
    own.has_offset = true;
    for (const ports::unreadable_settings& record : page->unreadable)
        this->log_unreadable_settings(record);
    bool is_any_new = apply_zone_records(*this->state, page->zones, "store");
    if (page->newest)
        is_any_new |= apply_settings(*this->state, std::move(*page->newest), "store");
    if (is_any_new)
        this->handlers.on_new_settings();
    return outcome_of(is_empty, page->has_more);
}

void store_watch::log_unreadable_settings(const ports::unreadable_settings& record) {
    this->state->metrics->count("unreadable_settings_total");
    if (std::exchange(this->unreadable_settings_logged, record.offset) == record.offset)
        return;
    this->state->log->write_always("settings_unreadable",
                                   {{"offset", record.offset}, {"reason", record.reason}});
}

void store_watch::log_unreadable_entries(const std::vector<base::upstream_id>& ids) {
    // Logs each id once and a limited number of ids, so that bad entries cannot flood the log.
    static constexpr std::size_t max_logged = 256;
    for (const base::upstream_id& id : ids) {
        this->state->metrics->count("unreadable_registry_entries_total");
        if (this->unreadable_entries_logged.size() < max_logged &&
            this->unreadable_entries_logged.insert(id).second)
            this->state->log->write("registry_entry_unreadable", {{"instance", id.value}});
    }
}

void store_watch::watch_settings(wire::yield_context yield) {
    while (true) {
        this->read_or_follow(this->settings, this->state->process->max_settings_delay,
                             &store_watch::read_settings, yield);
        if (this->settings.reader.is_unavailable)
            this->handlers.on_settings_unavailable();
    }
}

void store_watch::pause_after_changes(wire::yield_context yield) {
    const double part = host::pause_fraction(this->state->position_in_cell);
    const base::duration min_pause =
        base::from_seconds(part * base::to_seconds(this->state->process->max_leaving_delay));
    this->pause(std::max<base::duration>(min_pause, this->state->process->registry_interval), yield);
}

store_watch::read_result store_watch::read_registry(const ports::read_timeouts& timeouts,
                                                    wire::yield_context yield) {
    topic_progress& own = this->registry.progress;
    const bool is_listing_due = this->has_gap() && this->state->clock->now() >= this->listing_due;
    if (!own.has_offset || is_listing_due)
        return this->list_registry(timeouts, yield);
    const std::uint64_t from =
        this->has_gap() ? std::max(this->log_begin, this->read_after_gap) : own.next_offset;
    auto page = this->feed->registry_after(from, timeouts, yield);
    if (!page)
        return tl::make_unexpected(page.error());
    this->record_ending(this->registry, host::read_ending::answered);
    this->log_unreadable_entries(page->unreadable);
    apply_registry_changes(*this->state, page->changes, "store");
    if (this->has_gap())
        this->read_after_gap = page->next;
    else
        this->did_read_log(from, *page);
    expire_unlisted_instances(*this->state);
    return outcome_of(page->next == from, page->has_more);
}

void store_watch::did_read_log(std::uint64_t from, const ports::registry_page& page) {
    topic_progress& own = this->registry.progress;
    // Updates may have moved the offset on during the read.
    const std::uint64_t since = std::exchange(own.next_offset, std::max(own.next_offset, page.next));
    this->state->registry_next = own.next_offset;
    if (from <= since && since < own.next_offset)
        this->updates.did_read_changes(since, page.changes);
}

store_watch::read_result store_watch::list_registry(const ports::read_timeouts& timeouts,
                                                    wire::yield_context yield) {
    topic_progress& own = this->registry.progress;
    auto page = this->feed->newest_registry(timeouts, yield);
    if (!page)
        return tl::make_unexpected(page.error());
    this->record_ending(this->registry, host::read_ending::answered);
    this->log_unreadable_entries(page->unreadable);
    apply_registry_snapshot(*this->state, *page);
    this->updates.did_read_snapshot();
    this->listed_at = this->state->clock->now();
    this->listing_due = this->listed_at + 2 * host::min_probe_interval;
    // A listing may be behind the log, and behind what was known before.
    own.next_offset = std::max(own.next_offset, page->next);
    own.has_offset = true;
    this->state->registry_next = own.next_offset;
    expire_unlisted_instances(*this->state);
    return read_outcome::listing;
}

void store_watch::watch_registry(wire::yield_context yield) {
    while (true) {
        this->read_or_follow(this->registry, this->state->process->max_leaving_delay,
                             &store_watch::read_registry, yield);
        // Other hosts answer questions with what is new; the whole registry is only for who can't use that.
        const topic_progress& progress = this->registry.progress;
        const bool lacks_changes = !progress.has_offset || progress.leadership.behind_since;
        if (this->registry.reader.is_unavailable && (lacks_changes || !this->updates.can_receive()))
            this->handlers.on_registry_unavailable(yield);
        limit_idle_connections(*this->state);
    }
}

} // namespace postpaddle::gateway
