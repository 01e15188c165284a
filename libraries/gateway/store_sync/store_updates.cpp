// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/store_sync/store_updates.h>

#include <gateway/store_sync/registry_doubt.h>
#include <gateway/store_sync/registry_lease.h>
#include <host/replica_lease.h>

#include <algorithm>

namespace postpaddle::gateway {

namespace {

/// Number of intervals for which a change is repeated. A follower misses it only if all these updates are
/// lost.
constexpr int repeat_intervals = 2;
/// Maximum number of changes in one datagram, at about 80 bytes each, and of those that are repeated, so that
/// a large rollout does not saturate links.
constexpr std::size_t max_changes_per_update = 64;
/// Maximum number of changes in the answer to a question; a host that lacks more reads them from the store.
constexpr std::size_t max_changes_per_answer = 1'024;

} // namespace

store_updates::store_updates(gateway_state& state, peer_datagrams& datagrams, topic_progress& settings,
                             topic_progress& registry)
    : state(&state), datagrams(&datagrams), settings(&settings), registry(&registry), timer(*state.context) {}

void store_updates::start(callbacks update_handlers) {
    this->handlers = std::move(update_handlers);
    if (!this->datagrams->is_open())
        return;
    this->datagrams->on(datagram_kind::store_update,
                        [this](std::string_view bytes) { return this->handle(bytes); });
    this->schedule_update();
}

void store_updates::set_reads_store(bool reads_store) {
    if (std::exchange(this->state->reads_store, reads_store) == reads_store)
        return;
    this->state->metrics->set("reads_store", reads_store ? 1 : 0);
    this->state->log->write(
        "store_duty", {{"reads_store", reads_store}, {"cell_hosts", this->state->position_in_cell.hosts}});
}

bool store_updates::must_read(topic_progress& topic, std::chrono::milliseconds bound) {
    // Without datagrams, there are no updates to follow.
    if (!topic.has_offset || !this->datagrams->is_open())
        return true;
    const bool is_up_to_date = this->reported_version <= settings_version(*this->state);
    // Settings that another host is already transferring need not be read as well.
    if (&topic == this->settings &&
        (is_up_to_date || is_settings_transfer_pending(*this->state, this->state->peer_transfer_since)))
        topic.leadership.behind_since.reset();
    const host::read_reason reason = host::reason_to_read(
        topic.leadership,
        {.bound = bound, .position = this->state->position_in_cell, .now = this->state->clock->now()});
    const bool is_due = reason != host::read_reason::none;
    if (std::exchange(topic.is_read_here, is_due) != is_due && is_due)
        this->state->metrics->count(std::string("store_duties_total{reason=\"") + host::to_text(reason) +
                                    "\"}");
    this->set_reads_store(this->settings->is_read_here || this->registry->is_read_here);
    return topic.is_read_here;
}

void store_updates::did_read_changes(std::uint64_t since,
                                     const std::vector<decision::registry_change>& changes) {
    host::record_changes(this->recent, {.at = this->state->clock->now(),
                                        .since = since,
                                        .next = this->registry->next_offset,
                                        .changes = changes});
    this->send_to_cell(this->recent.runs.back());
}

bool store_updates::may_send() const {
    const base::time_point never{};
    return this->settings->leadership.known_until != never && this->registry->leadership.known_until != never;
}

store_update store_updates::make_update(const host::change_run& run) const {
    const base::time_point now = this->state->clock->now();
    const bool is_last = run.next == this->registry->next_offset;
    return {.host = this->state->process->name,
            .stamp = {.incarnation = this->state->incarnation,
                      .sent = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch())},
            .settings_version = settings_version(*this->state),
            .settings = {this->settings->next_offset, this->settings->leadership.known_until},
            // Only the last part of what is known here shows that there was nothing newer.
            .registry = {run.next, is_last ? this->registry->leadership.known_until : base::time_point{}},
            .is_read_failing = this->state->is_registry_read_failing,
            .is_store_absent = is_store_absent(*this->state),
            .is_uninformed = is_registry_uninformed(*this->state),
            .served = this->state->registry_outage.known,
            .changes_since = run.since,
            .changes = run.changes,
            .zones = decision::zone_records_of(this->state->evacuations)};
}

void store_updates::send_to(const std::vector<std::string>& addresses, const host::change_run& run,
                            std::optional<std::chrono::milliseconds> in_reply_to) {
    for (const host::change_run& part : host::split_run(run, max_changes_per_update)) {
        store_update update = this->make_update(part);
        update.in_reply_to = in_reply_to;
        this->datagrams->send(datagram_kind::store_update,
                              encode_store_update(update, this->state->clock->now()), addresses);
    }
}

void store_updates::send_to_cell(const host::change_run& run) {
    if (!this->may_send() || !host::has_followers(this->state->position_in_cell))
        return;
    const base::time_point now = this->state->clock->now();
    this->send_to(host::addresses_in(this->state->cells, this->state->peers, {own_cell(*this->state)}, now),
                  run, std::nullopt);
}

void store_updates::answer(const store_query& query) {
    if (!this->may_send())
        return;
    const std::uint64_t next = this->registry->next_offset;
    const host::change_run nothing{.at = {}, .since = next, .next = next, .changes = {}};
    this->send_to({query.address},
                  host::changes_since(this->recent, query.registry_next, next, max_changes_per_answer)
                      .value_or(nothing),
                  query.sent);
}

void store_updates::did_read() {
    const std::uint64_t next = this->registry->next_offset;
    this->send_to_cell({.at = {}, .since = next, .next = next, .changes = {}});
}

base::duration store_updates::interval() const {
    const auto bound =
        std::min(this->state->process->max_settings_delay, this->state->process->max_leaving_delay);
    return base::scaled(bound, host::update_interval_fraction);
}

void store_updates::schedule_update() {
    this->timer.expires_after(this->interval());
    this->timer.async_wait([this](const wire::error_code& error) {
        if (error)
            return;
        const base::time_point oldest = this->state->clock->now() - repeat_intervals * this->interval();
        if (this->state->reads_store)
            this->send_to_cell(host::changes_to_resend(this->recent, this->registry->next_offset, oldest,
                                                       max_changes_per_update));
        this->schedule_update();
    });
}

bool store_updates::handle(std::string_view bytes) {
    const std::uint64_t known_next = this->registry->has_offset ? this->registry->next_offset : 0;
    auto update = decode_store_update(bytes, this->state->clock->now(), known_next);
    if (!update)
        return false;
    if (update->host == this->state->process->name)
        return true;
    this->date(*update);
    this->state->metrics->count("store_updates_total{sender=" + quoted_label(update->host.value) + "}");
    host::record_received(this->state->peers, update->host, this->state->clock->now());
    if (update->is_store_absent)
        host::record_absence(this->state->registry_outage, update->host, this->state->clock->now());
    host::record_presence(this->state->registry_outage, update->served);
    this->apply_settings_update(*update);
    this->apply_registry_update(*update);
    this->record_doubt(*update);
    return true;
}

void store_updates::date(store_update& update) {
    const base::time_point now = this->state->clock->now();
    if (update.in_reply_to)
        host::record_answer(this->clocks, update.host, update.stamp, base::time_point(*update.in_reply_to),
                            now);
    const auto sent = host::earliest_send(this->clocks, update.host, update.stamp, now);
    if (!sent)
        this->handlers.on_undated_update(update.host);
    for (topic_update* const topic : {&update.settings, &update.registry})
        topic->until =
            sent && topic->until != base::time_point{} ? topic->until - (now - *sent) : base::time_point{};
    // The span's beginning stays as it is: it must not seem earlier than it was.
    update.served.until = sent ? update.served.until - (now - *sent) : base::time_point{};
    if (sent)
        this->state->metrics->observe("notice_delay_seconds", now - *sent);
}

void store_updates::record_doubt(const store_update& update) {
    const base::time_point now = this->state->clock->now();
    if (now - this->state->registry_known_until <
        host::age_to_ask(this->state->position_in_cell, registry_bound(*this->state)))
        host::end_doubt(this->state->registry_doubt);
    else if (update.in_reply_to)
        host::record_answer(this->state->registry_doubt, {.host = update.host,
                                                          .is_read_failing = update.is_read_failing,
                                                          .is_uninformed = update.is_uninformed,
                                                          .received = now});
}

void store_updates::apply_settings_update(const store_update& update) {
    (void)apply_zone_records(*this->state, update.zones, "reader");
    this->reported_version = std::max(this->reported_version, update.settings_version);
    topic_progress& own = *this->settings;
    if (update.settings_version > settings_version(*this->state)) {
        if (!own.leadership.behind_since)
            own.leadership.behind_since = this->state->clock->now();
        return;
    }
    own.next_offset = std::max(own.next_offset, update.settings.next);
    host::record_known(own.leadership, update.settings.until);
}

void store_updates::apply_registry_update(const store_update& update) {
    topic_progress& own = *this->registry;
    if (!own.has_offset)
        return;
    if (own.next_offset < update.changes_since) {
        this->state->metrics->count("store_update_gaps_total");
        if (!own.leadership.behind_since) {
            own.leadership.behind_since = this->state->clock->now();
            this->handlers.on_gap();
        }
        return;
    }
    if (own.next_offset < update.registry.next) {
        apply_registry_changes(*this->state, update.changes, "reader");
        // Kept for repetition in case this host reads the store: its runs of changes must have no gap.
        host::record_changes(this->recent, {.at = this->state->clock->now(),
                                            .since = own.next_offset,
                                            .next = update.registry.next,
                                            .changes = update.changes});
        own.next_offset = update.registry.next;
        this->state->registry_next = own.next_offset;
    }
    own.leadership.behind_since.reset();
    host::record_known(own.leadership, update.registry.until);
    this->state->registry_known_until = std::max(this->state->registry_known_until, update.registry.until);
    expire_unlisted_instances(*this->state);
}

bool store_updates::take_over(const ports::registry_page& page, base::time_point known_until) {
    topic_progress& own = *this->registry;
    if (own.has_offset && page.next < own.next_offset)
        return false;
    apply_registry_snapshot(*this->state, page);
    own.next_offset = page.next;
    own.has_offset = true;
    own.leadership.behind_since.reset();
    this->recent.runs.clear();
    host::record_known(own.leadership, known_until);
    this->state->registry_known_until = std::max(this->state->registry_known_until, known_until);
    return true;
}

} // namespace postpaddle::gateway
