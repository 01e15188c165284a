// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/store_updates.h>

namespace postpaddle::gateway {

namespace {

/// Number of intervals for which a change is repeated. A follower misses it only if all these updates are
/// lost.
constexpr int repeat_intervals = 2;
/// Maximum number of changes in one update, at about 80 bytes each, so that a large rollout does not saturate
/// links.
constexpr std::size_t max_changes_per_update = 64;

} // namespace

store_updates::store_updates(gateway_state& state, peer_datagrams& datagrams, topic_progress& settings,
                             topic_progress& registry)
    : state(&state), datagrams(&datagrams), settings(&settings), registry(&registry), timer(*state.context) {}

void store_updates::start() {
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
    topic.is_read_here = host::must_read(
        topic.leadership,
        {.bound = bound, .position = this->state->position_in_cell, .now = this->state->clock->now()});
    this->set_reads_store(this->settings->is_read_here || this->registry->is_read_here);
    return topic.is_read_here;
}

void store_updates::did_read_changes(std::uint64_t since,
                                     const std::vector<decision::registry_change>& changes) {
    const host::change_run run = {.at = this->state->clock->now(),
                                  .since = since,
                                  .next = this->registry->next_offset,
                                  .changes = changes};
    host::record_changes(this->recent, run);
    this->send(run);
}

void store_updates::send(const host::change_run& run) {
    const base::time_point never{};
    const bool has_read = this->settings->known_until != never && this->registry->known_until != never;
    if (!has_read || !host::has_followers(this->state->position_in_cell))
        return;
    const base::time_point now = this->state->clock->now();
    const store_update update = {
        .host = this->state->process->name,
        .stamp = {.incarnation = this->state->incarnation,
                  .sent = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch())},
        .settings_version = settings_version(*this->state),
        .settings = {this->settings->next_offset, this->settings->known_until},
        .registry = {this->registry->next_offset, this->registry->known_until},
        .is_registry_failing = is_registry_failing(*this->state),
        .changes_since = run.since,
        .changes = run.changes,
        .zones = decision::zone_records_of(this->state->evacuations)};
    const host::cell_plan& plan = this->state->cells;
    this->datagrams->send(datagram_kind::store_update, encode_store_update(update, now),
                          host::addresses_in(plan, this->state->peers, {own_cell(*this->state)}, now));
}

void store_updates::did_read() {
    const std::uint64_t next = this->registry->next_offset;
    this->send({.at = {}, .since = next, .next = next, .changes = {}});
}

base::duration store_updates::interval() const {
    const auto bound =
        std::min(this->state->process->max_settings_delay, this->state->process->max_leaving_delay);
    return base::from_seconds(base::to_seconds(bound) * host::update_interval_fraction);
}

void store_updates::schedule_update() {
    this->timer.expires_after(this->interval());
    this->timer.async_wait([this](const wire::error_code& error) {
        if (error)
            return;
        const base::time_point oldest = this->state->clock->now() - repeat_intervals * this->interval();
        if (this->state->reads_store)
            this->send(host::changes_to_resend(this->recent, this->registry->next_offset, oldest,
                                               max_changes_per_update));
        this->schedule_update();
    });
}

bool store_updates::handle(std::string_view bytes) {
    auto update = decode_store_update(bytes, this->state->clock->now());
    if (!update)
        return false;
    if (update->host == this->state->process->name)
        return true;
    const base::duration delay =
        host::record_arrival(this->delays, update->host, update->stamp, this->state->clock->now());
    this->state->metrics->observe("notice_delay_seconds", delay);
    update->settings.until -= delay;
    update->registry.until -= delay;
    host::record_received(this->state->peers, update->host, this->state->clock->now());
    if (update->is_registry_failing)
        this->state->registry_failed_at = this->state->clock->now();
    this->apply_settings_update(*update);
    this->apply_registry_update(*update);
    return true;
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
        if (!own.leadership.behind_since)
            own.leadership.behind_since = this->state->clock->now();
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

} // namespace postpaddle::gateway
