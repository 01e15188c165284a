// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/peers/load_exchange.h>

#include <gateway/engine_slots/slot_order.h>
#include <gateway/peers/pace_exchange.h>
#include <gateway/peers/peer_codec.h>
#include <gateway/upstreams/upstream_advertisements.h>

#include <wire/bounded_response.h>

#include <algorithm>
#include <functional>
#include <span>

namespace postpaddle::gateway {

namespace {

using namespace std::chrono_literals;

/// Changes within this time are combined into one report.
constexpr base::duration coalescing_time = 3ms;
/// Cells queried at once when the own one has no free slot; with two random choices, one usually has.
constexpr std::size_t queried_cells = 2;
/// Minimum interval between queries: two of them fit into the time for which an answer is considered valid.
constexpr base::duration query_interval = 100ms;
/// Timeout of a query: many round trips between availability zones.
constexpr auto query_timeout = 60ms;
/// Limit on the loads that a host of another cell reports: room for ten thousand upstreams.
constexpr std::size_t max_cell_loads_bytes = 1024UL * 1024;
/// Minimum interval between reports that include the engines' paces. Receivers decode each row, and a
/// measurement is reported for two seconds.
constexpr base::duration pace_report_interval = 500ms;
/// Intervals at which unreported use of the limits is checked for, with and without limits.
constexpr base::duration use_check_interval = 50ms;
constexpr base::duration idle_use_check_interval = 1'000ms;
constexpr int ok_status = 200;
/// Rows of at most 11 bytes, so that a report stays within one datagram of 1,400 bytes.
constexpr std::size_t max_reported_shares = 32;

/// The largest uses: the others hardly change the level of the shares.
std::map<host::share_key, double> shares_to_report(const gateway_state& state) {
    std::vector<std::pair<double, host::share_key>> rows;
    for (const auto& [key, use] : state.shares)
        rows.emplace_back(use.memory_tokens, key);
    std::ranges::sort(rows, std::greater{});
    std::map<host::share_key, double> largest;
    for (const auto& [tokens, key] : std::span(rows).first(std::min(rows.size(), max_reported_shares)))
        largest[key] = tokens;
    return largest;
}

} // namespace

load_exchange::load_exchange(gateway_state& state, peer_datagrams& datagrams)
    : state(&state), datagrams(&datagrams), limits(state), plain_loads(state), report_timer(*state.context),
      refresh_timer(*state.context), use_timer(*state.context) {}

void load_exchange::start() {
    // The number of alive hosts divides all shared limits, so it is needed even without datagrams.
    this->state->on_host_list_read = [this] { this->plan_cells(); };
    this->plan_cells();
    this->refresh();
    if (!this->datagrams->is_open())
        return;
    this->state->on_load_changed = [this] { this->did_change(); };
    this->state->query_other_cells = [this] { return this->try_query_other_cells(); };
    this->datagrams->on(datagram_kind::load, [this](std::string_view bytes) { return this->handle(bytes); });
    this->plain_loads.start();
    this->schedule_use_check();
}

bool load_exchange::handle(std::string_view bytes) {
    const auto report = decode_load(bytes);
    if (!report)
        return false;
    if (report->host == this->state->process->name)
        return true;
    host::record_received(this->state->peers, report->host, this->state->clock->now());
    apply_reported_paces(*this->state, *report);
    this->log_avoided(*report);
    const auto change = host::apply_report(this->state->loads, *report, this->state->clock->now());
    if (!change)
        return true;
    this->limits.handle_report(*report);
    handle_advertisements(*this->state, report->advertisements);
    this->plain_loads.apply(*report);
    host::apply_sums(this->state->instances, this->state->loads, change->keys);
    if (change->has_freed_capacity) {
        did_change_order(*this->state);
        this->state->did_change_slots();
    }
    return true;
}

void load_exchange::log_avoided(const host::load_report& report) const {
    const auto known = this->state->loads.by_host.find(report.host);
    const bool is_known = known != this->state->loads.by_host.end();
    const std::size_t avoided = is_known ? known->second.report.avoided.size() : 0;
    const std::size_t out_of_service = is_known ? known->second.report.out_of_service.size() : 0;
    if (report.avoided.size() == avoided && report.out_of_service.size() == out_of_service)
        return;
    this->state->log->write("host_avoids_upstreams", {{"by", report.host.value},
                                                      {"avoided", report.avoided.size()},
                                                      {"out_of_service", report.out_of_service.size()}});
}

void load_exchange::did_change() {
    if (std::exchange(this->is_report_due, true))
        return;
    this->report_timer.expires_after(coalescing_time);
    this->report_timer.async_wait([this](const wire::error_code& error) {
        this->is_report_due = false;
        if (!error)
            this->send_report();
    });
}

host::load_report load_exchange::own_report() {
    host::load_report report;
    report.host = this->state->process->name;
    report.incarnation = this->state->incarnation;
    report.sequence = ++this->sequence;
    for (const auto& [id, known] : this->state->instances.by_id)
        if (known.own.requests > 0 && known.entry.stage != settings::engine_stage::none)
            report.uses[host::key_of(id, known.entry.start_time_ms)] = known.own;
    const base::time_point now = this->state->clock->now();
    for (const auto& [id, known] : this->state->instances.by_id) {
        if (known.state != decision::listing::listed ||
            !decision::is_failure_credible(this->state->instances, known))
            continue;
        if (decision::is_ejected(known, now))
            report.avoided.push_back(host::key_of(id, known.entry.start_time_ms));
        if (decision::is_out_of_service(known, now))
            report.out_of_service.push_back(host::key_of(id, known.entry.start_time_ms));
    }
    for (const waiting_request* const waiting : this->state->waiting)
        report.waiters.push_back(decision::to_waiter(local_waiter_of(*this->state, *waiting, now)));
    report.share_tokens = shares_to_report(*this->state);
    this->limits.add_use(report);
    if (now - this->paces_reported_at >= pace_report_interval) {
        report.paces = paces_to_report(*this->state);
        this->paces_reported_at = now;
    }
    this->plain_loads.fill(report);
    report.advertisements = advertisements_to_send(*this->state, advertisement_source::own_answers);
    return report;
}

std::vector<std::string> load_exchange::recipients() {
    const host::cell_plan& plan = this->state->cells;
    std::set<host::cell> cells = {own_cell(*this->state)};
    for (const auto& [id, known] : this->state->instances.by_id)
        if (known.is_remote && known.own.requests > 0)
            cells.insert(host::cell_of_engine(plan, id, known.entry.availability_zone));
    // Cells that were sent work are also sent its end.
    const std::set<host::cell> now = cells;
    cells.insert(this->reported_cells.begin(), this->reported_cells.end());
    this->reported_cells = now;
    return host::addresses_in(plan, this->state->peers, cells, this->state->clock->now());
}

void load_exchange::send_report() {
    if (!this->state->process->policy.report_loads)
        return;
    const host::load_report report = this->own_report();
    this->has_reported_work = !report.uses.empty() || !report.waiters.empty() || !report.avoided.empty() ||
                              !report.share_tokens.empty() || !report.advertisements.empty();
    this->datagrams->send(datagram_kind::load, encode_load(report), this->recipients());
}

void load_exchange::plan_cells() {
    const settings::gateway_settings& process = *this->state->process;
    const host::cell_plan before = this->state->cells;
    this->state->cells = host::plan_cells(this->state->peers, process.availability_zone, this->state->cells,
                                          this->state->clock->now());
    this->state->participating_hosts = hosts_alive(*this->state);
    this->state->position_among_hosts = host::position_among_alive(this->state->peers, process.name);
    if (this->state->has_host_list)
        this->state->position_in_cell =
            host::position_in(host::hosts_in(this->state->cells, this->state->peers, process.name,
                                             process.availability_zone, this->state->clock->now()),
                              process.name);
    if (this->state->cells == before)
        return;
    host::mark_remote_engines(this->state->instances, this->state->cells, own_cell(*this->state));
    host::apply_all_sums(this->state->instances, this->state->loads);
}

bool load_exchange::try_query_other_cells() {
    if (this->pending_queries > 0)
        return true;
    const base::time_point now = this->state->clock->now();
    if (this->state->cells.is_single || now - this->queried_at < query_interval)
        return false;
    this->queried_at = now;
    const std::vector<std::string> addresses =
        host::sample_other_cells(this->state->cells, this->state->peers, own_cell(*this->state),
                                 queried_cells, now, this->state->random);
    for (const std::string& address : addresses) {
        ++this->pending_queries;
        wire::spawn_coroutine(*this->state->context, [this, address](wire::yield_context yield) {
            this->query(address, yield);
            --this->pending_queries;
            this->state->did_change_slots();
        });
    }
    return !addresses.empty();
}

void load_exchange::query(const std::string& address, wire::yield_context yield) {
    const auto answer = wire::fetch_bounded(
        *this->state->pool, address, wire::get_request(cell_loads_path, {{"Host", address}}),
        {.timeout = query_timeout, .body_bytes = max_cell_loads_bytes}, yield);
    const auto loads = answer && answer->status == ok_status ? decode_cell_loads(answer->body) : std::nullopt;
    this->state->metrics->count(loads ? "cell_loads_told_total" : "cell_loads_not_told_total");
    if (loads)
        host::apply_reported_loads(this->state->instances, this->state->loads, *loads,
                                   this->state->clock->now());
}

void load_exchange::schedule_use_check() {
    this->use_timer.expires_after(this->limits.has_limits() ? use_check_interval : idle_use_check_interval);
    this->use_timer.async_wait([this](const wire::error_code& error) {
        if (error)
            return;
        this->limits.detect_silent_hosts();
        if (this->limits.is_report_due())
            this->did_change();
        this->schedule_use_check();
    });
}

void load_exchange::refresh() {
    this->refresh_timer.expires_after(
        host::keepalive_interval(this->state->clock->now() - this->state->started));
    this->refresh_timer.async_wait([this](const wire::error_code& error) {
        if (error)
            return;
        const bool is_any_dropped = host::expire_silent_hosts(this->state->loads, this->state->clock->now());
        this->plan_cells();
        this->limits.evict_old_usage();
        if (is_any_dropped) {
            host::apply_all_sums(this->state->instances, this->state->loads);
            did_change_order(*this->state);
            this->state->did_change_slots();
        }
        if (this->has_reported_work || this->limits.has_limits())
            this->did_change();
        this->refresh();
    });
}

} // namespace postpaddle::gateway
