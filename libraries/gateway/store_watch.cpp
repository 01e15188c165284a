// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/store_watch.h>

namespace postpaddle::gateway {

namespace {

using namespace std::chrono_literals;

/// Fraction of the bound between two checks of a follower whether it must read the store itself. When it
/// must, half of the bound is over; this is a tenth of the rest. Proportional to the bound, so that long
/// bounds cause few wakeups.
constexpr double follow_check_fraction = 0.05;

} // namespace

store_watch::store_watch(gateway_state& state, ports::control_feed& feed, peer_datagrams& datagrams,
                         callbacks handlers)
    : state(&state), feed(&feed), handlers(std::move(handlers)), settings(*state.context, "settings"),
      registry(*state.context, "registry"),
      updates(state, datagrams, this->settings.progress, this->registry.progress) {}

void store_watch::start() {
    this->updates.start();
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

void store_watch::log_unavailable(const topic& read, const ports::feed_error& error) {
    this->state->log->write_always("dependency_lost", {{"dependency", std::string("store ") + read.name},
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

void store_watch::run_read(topic& read, read_function function, host::store_read plan,
                           wire::yield_context yield) {
    const base::time_point began = this->state->clock->now();
    const ports::read_timeouts timeouts = {
        .wait = plan.wait, .limit = plan.limit, .on_part = [&] { this->did_arrive(read, plan); }};
    const auto result = (this->*function)(timeouts, yield);
    if (result) {
        this->state->metrics->count("store_reads_total");
        read.progress.leadership.behind_since.reset();
        const bool has_waited = this->state->clock->now() - began >= plan.wait;
        const bool is_old = *result == read_outcome::nothing_new && has_waited;
        const base::time_point until = is_old ? began + plan.wait : began;
        read.progress.known_until = std::max(read.progress.known_until, until);
        host::record_known(read.progress.leadership, until);
        if (&read == &this->registry)
            this->state->registry_known_until = std::max(this->state->registry_known_until, until);
        if (host::did_answer(read.reader, plan, began))
            this->state->log->write_always("dependency_regained",
                                           {{"dependency", std::string("store ") + read.name}});
        this->updates.did_read();
    } else {
        this->state->metrics->count("store_failures_total");
        this->state->metrics->count("store_bytes_given_up_total", result.error().arrived_bytes);
        if (result.error().failure == ports::feed_failure::history_lost)
            read.progress.has_offset = false;
        const auto failure = result.error().failure == ports::feed_failure::unreachable
                                 ? host::read_failure::no_answer
                                 : host::read_failure::refusal;
        if (host::did_fail(read.reader, plan, failure, began))
            this->log_unavailable(read, result.error());
        if (read.reader.is_unavailable)
            this->state->registry_failed_at = this->state->clock->now();
    }
    this->did_end(read);
}

void store_watch::read_or_follow(topic& read, std::chrono::milliseconds bound, read_function function,
                                 wire::yield_context yield) {
    read.reader.bound = bound;
    read.reader.wait_fraction = host::wait_fraction(this->state->position_in_cell);
    read.reader.probe_interval = host::probe_interval(this->state->position_in_cell, bound);
    if (this->updates.must_read(read.progress, bound)) {
        this->run_due_reads(read, function, yield);
        return;
    }
    read.reader.is_stale = true;
    this->pause(base::from_seconds(base::to_seconds(bound) * follow_check_fraction), yield);
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

store_watch::read_result store_watch::read_settings(const ports::read_timeouts& timeouts,
                                                    wire::yield_context yield) {
    topic_progress& own = this->settings.progress;
    auto page = own.has_offset ? this->feed->settings_after(own.next_offset, timeouts, yield)
                               : this->feed->newest_settings(timeouts, yield);
    if (!page)
        return tl::make_unexpected(page.error());
    const bool has_records = !own.has_offset || page->next > own.next_offset;
    own.next_offset = std::max(own.next_offset, page->next);
    own.has_offset = true;
    for (const ports::unreadable_settings& record : page->unreadable)
        this->log_unreadable_settings(record);
    bool is_any_new = apply_zone_records(*this->state, page->zones, "store");
    if (page->newest)
        is_any_new |= apply_settings(*this->state, std::move(*page->newest), "store");
    if (is_any_new)
        this->handlers.on_new_settings();
    return has_records ? read_outcome::records : read_outcome::nothing_new;
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
    const bool is_snapshot = !own.has_offset;
    auto page = !is_snapshot ? this->feed->registry_after(own.next_offset, timeouts, yield)
                             : this->feed->newest_registry(timeouts, yield);
    if (!page)
        return tl::make_unexpected(page.error());
    const bool has_records = is_snapshot || page->next > own.next_offset;
    this->log_unreadable_entries(page->unreadable);
    if (is_snapshot) {
        apply_registry_snapshot(*this->state, *page);
        this->updates.did_read_snapshot();
    } else {
        apply_registry_changes(*this->state, page->changes, "store");
    }
    const std::uint64_t since = std::exchange(own.next_offset, std::max(own.next_offset, page->next));
    own.has_offset = true;
    this->state->registry_next = own.next_offset;
    if (has_records && !is_snapshot)
        this->updates.did_read_changes(since, page->changes);
    if (timeouts.wait > std::chrono::milliseconds::zero())
        this->pause_after_changes(yield);
    expire_unlisted_instances(*this->state);
    return has_records ? read_outcome::records : read_outcome::nothing_new;
}

void store_watch::watch_registry(wire::yield_context yield) {
    while (true) {
        this->read_or_follow(this->registry, this->state->process->max_leaving_delay,
                             &store_watch::read_registry, yield);
        if (this->registry.reader.is_unavailable)
            this->handlers.on_registry_unavailable(yield);
        limit_idle_connections(*this->state);
    }
}

} // namespace postpaddle::gateway
