// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/store_sync/anti_entropy.h>

#include <gateway/store_sync/registry_doubt.h>

namespace postpaddle::gateway {

anti_entropy::anti_entropy(gateway_state& state, peer_datagrams& datagrams, topic_progress& registry,
                           store_updates& updates)
    : state(&state), datagrams(&datagrams), registry(&registry), updates(&updates), timer(*state.context) {}

void anti_entropy::start() {
    if (!this->datagrams->is_open())
        return;
    this->state->on_registry_doubted = [this] { this->ask_soon(); };
    this->datagrams->on(datagram_kind::store_query,
                        [this](std::string_view bytes) { return this->handle_query(bytes); });
    this->schedule_check();
}

base::duration anti_entropy::interval() const { return host::ask_interval(registry_bound(*this->state)); }

bool anti_entropy::is_in_doubt() const {
    // Another host may prove that entries which went didn't just lapse.
    if (this->registry->leadership.behind_since || this->state->instances.has_unlisted)
        return true;
    const base::duration age = this->state->clock->now() - this->state->registry_known_until;
    return age >= host::age_to_ask(this->state->position_in_cell, registry_bound(*this->state));
}

void anti_entropy::schedule_check() {
    this->timer.expires_after(this->interval());
    this->timer.async_wait([this](const wire::error_code& error) {
        if (error)
            return;
        if (this->is_in_doubt())
            this->ask_soon();
        this->schedule_check();
    });
}

void anti_entropy::ask_soon() {
    // Half of the interval, as timers fire late.
    if (this->state->clock->now() - this->state->registry_doubt.asked_at >= this->interval() / 2)
        this->ask();
}

void anti_entropy::ask() {
    host::replica_doubt& doubt = this->state->registry_doubt;
    const base::time_point now = this->state->clock->now();
    doubt.asked_at = now;
    const std::vector<std::string> addresses =
        host::hosts_to_ask(doubt, this->state->peers, now, this->state->random);
    doubt.asked.insert(addresses.begin(), addresses.end());
    this->send_query(addresses);
}

void anti_entropy::ask_clock_of(const base::host_id& host) {
    const base::time_point now = this->state->clock->now();
    if (now - this->state->registry_known_until < host::age_to_ask_clocks(registry_bound(*this->state)))
        return;
    const auto known = this->state->peers.by_name.find(host);
    const auto [asked, is_new] = this->clocks_asked.try_emplace(host, now);
    if (known == this->state->peers.by_name.end() || (!is_new && now - asked->second < this->interval()))
        return;
    asked->second = now;
    this->send_query({known->second.address});
}

void anti_entropy::send_query(const std::vector<std::string>& addresses) {
    const auto sent = this->state->clock->now().time_since_epoch();
    const store_query query = {.host = this->state->process->name,
                               .address = this->state->process->peers,
                               .sent = std::chrono::floor<std::chrono::milliseconds>(sent),
                               .registry_next = this->registry->has_offset ? this->registry->next_offset : 0,
                               .is_store_absent = is_store_absent(*this->state)};
    this->state->metrics->count("store_queries_total", addresses.size());
    this->datagrams->send(datagram_kind::store_query, encode_store_query(query), addresses);
}

bool anti_entropy::handle_query(std::string_view bytes) {
    const auto query = decode_store_query(bytes);
    if (!query)
        return false;
    if (query->host == this->state->process->name)
        return true;
    host::record_received(this->state->peers, query->host, this->state->clock->now());
    if (query->is_store_absent)
        host::record_absence(this->state->registry_outage, query->host, this->state->clock->now());
    this->updates->answer(*query);
    return true;
}

} // namespace postpaddle::gateway
