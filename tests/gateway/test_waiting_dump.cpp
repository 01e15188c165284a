// SPDX-License-Identifier: BSD-2-Clause
// What operators are shown of the requests that wait at a host. An overload in which callers compete.
#include <gateway/collected_bodies.h>
#include <gateway/gateway_request.h>
#include <gateway/operations/state_dump.h>
#include <gateway/operations/waiting_dump.h>
#include <gateway/operations/waiting_entry.h>
#include <gateway/plain/send_slot_queue.h>
#include <gateway/unsent_data_bound.h>
#include <support/manual_clock.h>
#include <wire/asio.h>

#include <catch2/catch.hpp>

#include <list>

using namespace postpaddle;
using namespace std::chrono_literals;

namespace {

const std::string service = "service";
const std::string secret_prompt = "secret prompt";
const std::string secret_key = "secret key";

/// A host without a network. Engine requests are ordered by shares, since the settings name organisations.
struct test_host {
    test_host() {
        this->process.name = {"host"};
        this->route.name = "route";
        this->state.clock = &this->clock;
        this->state.process = &this->process;
        this->state.registry_known_until = this->clock.now();
        this->state.metrics = &this->metrics;
        this->state.context = &this->context;
        settings::routing_settings value;
        value.organisations[{"small"}] = {};
        value.organisations[{"large"}] = {};
        value.services[service].engine.emplace();
        this->settings->document.value = std::make_shared<settings::routing_settings>(std::move(value));
        gateway::prepare_order(*this->settings);
        this->state.settings = this->settings;
    }
    test_host(const test_host&) = delete;
    test_host(test_host&&) = delete;
    test_host& operator=(const test_host&) = delete;
    test_host& operator=(test_host&&) = delete;
    ~test_host() = default;

    [[nodiscard]] nlohmann::json dump(const char* kind) const {
        return gateway::dump_waiting(this->state).at(service).at(kind);
    }

    wire::asio::io_context context;
    test::manual_clock clock;
    settings::gateway_settings process;
    settings::route_entry route;
    gateway::gateway_metrics metrics;
    std::shared_ptr<gateway::settings_in_force> settings = std::make_shared<gateway::settings_in_force>();
    gateway::gateway_state state;
};

void set_up(gateway::gateway_request& request, test_host& host, const std::string& id) {
    request.state = &host.state;
    request.settings = host.settings;
    request.route = &host.route;
    request.service = service;
    request.routed.id = id;
    request.routed.organisation = {"small"};
    request.routed.key_hash = secret_key;
    request.routed.message.body = secret_prompt;
    request.arrived = host.clock.now();
    request.first_try = host.clock.now();
    request.deadline = host.clock.now() + 10s;
}

gateway::waiting_request waiting_for_engine(const gateway::gateway_request& request) {
    return {.first_try = request.first_try,
            .memory_tokens = 100,
            .in_time = 600ms,
            .service = service,
            .capacity = {},
            .arrived = request.arrived,
            .latency_target = 1s,
            .max_wait = 4s,
            .share_key = host::key_of(service, request.routed.organisation),
            .request = &request};
}

/// Requests that wait for an engine slot.
struct engine_waiters {
    explicit engine_waiters(test_host& host) : host(&host) {}

    gateway::gateway_request& add(const std::string& id, const std::string& organisation = "small") {
        gateway::gateway_request& request = this->requests.emplace_back();
        set_up(request, *this->host, id);
        request.routed.organisation = {organisation};
        this->entries.emplace_back(this->host->state, waiting_for_engine(request));
        return request;
    }

    test_host* host;
    std::list<gateway::gateway_request> requests;
    std::list<gateway::scoped_waiting_entry> entries;
};

std::vector<std::string> ids_of(const nlohmann::json& queue) {
    std::vector<std::string> ids;
    for (const auto& row : queue.at("rows"))
        ids.push_back(row.at("request"));
    return ids;
}

/// A plain upstream that has asked for no requests until then.
void add_resting_upstream(test_host& host, base::time_point until) {
    settings::upstream_entry entry;
    entry.id.value = "upstream";
    entry.service = service;
    entry.address = "127.0.0.1:1";
    (void)decision::apply_change(host.state.instances, {entry.id, entry, 1},
                                 decision::registry_condition::healthy);
    decision::find_instance(host.state.instances, entry.id)->backoff_until = until;
}

} // namespace

// Guards against rows in the order of arrival or of addresses in memory, which would show the operator
// another request as the next one than the host serves.
TEST_CASE("requests that wait for an engine are shown in the order in which they would be served") {
    test_host host;
    engine_waiters waiters(host);
    // The large organisation uses more than its share of the 1,000 tokens in use.
    const gateway::scoped_share_use use(host.state, host::key_of(service, {"large"}), 1'000);
    waiters.add("late");
    host.clock.advance(700ms);
    waiters.add("beyond", "large");
    host.clock.advance(1ms);
    waiters.add("older");
    host.clock.advance(1ms);
    waiters.add("newer");
    const auto queue = host.dump("engine_slot");
    CHECK(ids_of(queue) == std::vector<std::string>{"older", "newer", "late", "beyond"});
    CHECK(queue.at("total") == 4);
    const auto& rows = queue.at("rows");
    CHECK(rows[0].at("ahead_on_all_hosts") == 0);
    CHECK(rows[3].at("ahead_on_all_hosts") == 3);
    CHECK(rows[3].at("is_beyond_share") == true);
    CHECK(rows[3].at("organisation") == "large");
    CHECK(rows[2].at("can_be_in_time") == false);
    CHECK(rows[2].at("waited_ms") == 702);
    CHECK(rows[1].at("can_be_in_time") == true);
}

// Guards against "in time" for requests that are merely no longer overtaken.
TEST_CASE("a protected request that is late is shown as late") {
    test_host host;
    engine_waiters waiters(host);
    waiters.add("protected");
    host.clock.advance(2s);
    const auto row = host.dump("engine_slot").at("rows")[0];
    CHECK(row.at("is_protected") == true);
    CHECK(row.at("can_be_in_time") == false);
}

// Guards against a dump that changes the order kept for decisions.
TEST_CASE("the dump of waiting requests keeps the queue by which requests are decided") {
    test_host host;
    engine_waiters waiters(host);
    waiters.add("one");
    (void)gateway::ordered_waiters_of(host.state, service, {.total = 5'000, .free = 5'000});
    const auto made_at = host.state.ordered_waiters_of[service].made_at;
    const std::string metrics = host.metrics.text();
    host.clock.advance(1ms);
    (void)host.dump("engine_slot");
    CHECK(host.state.ordered_waiters_of.size() == 1);
    CHECK(host.state.ordered_waiters_of[service].queue);
    CHECK(host.state.ordered_waiters_of[service].made_at == made_at);
    CHECK(metrics.find("share_level_tokens") != std::string::npos);
    CHECK(host.metrics.text() == metrics);
}

// Guards against a dump that grows with the overload that it is to explain.
TEST_CASE("the rows of waiting requests are bounded and the rest is counted") {
    test_host host;
    engine_waiters engine(host);
    const std::size_t count = gateway::max_waiting_rows + 10;
    std::list<gateway::send_slot_waiter> plain;
    for (std::size_t index = 0; index < count; ++index) {
        const gateway::gateway_request& request = engine.add(std::to_string(index));
        plain.push_back({.position = decision::last_position(host.clock.now()), .request = &request});
        host.state.send_slot_queues[service].waiters.push_back(&plain.back());
        host.clock.advance(1ms);
    }
    for (const char* const kind : {"engine_slot", "send_slot"}) {
        const auto queue = host.dump(kind);
        CHECK(queue.at("total") == count);
        CHECK(queue.at("rows").size() == gateway::max_waiting_rows);
        CHECK(queue.at("rows")[0].at("request") == "0");
    }
}

// Guards against rows of requests that have ended, and against pointers to them.
TEST_CASE("a request that waits for an engine is no longer shown once its caller is gone or it has ended") {
    test_host host;
    engine_waiters waiters(host);
    waiters.add("served");
    host.clock.advance(1ms);
    waiters.add("gone").cancellation->did_lose_caller();
    CHECK(ids_of(host.dump("engine_slot")) == std::vector<std::string>{"served"});
    CHECK(host.dump("engine_slot").at("total") == 1);
    waiters.entries.clear();
    waiters.requests.clear();
    CHECK(gateway::dump_waiting(host.state).empty());
}

TEST_CASE("plain requests that wait are shown in the order in which they would be sent") {
    test_host host;
    const base::time_point now = host.clock.now();
    const decision::queue_position in_time = {
        .since = now, .in_time_until = now + 100ms, .latency_target = 1s, .rank = 1};
    decision::queue_position urgent = in_time;
    urgent.rank = 0;
    urgent.since += 1ms;
    decision::queue_position late = in_time;
    late.in_time_until = now;
    const std::vector<std::pair<std::string, decision::queue_position>> places = {
        {"unknown load", decision::last_position(now)},
        {"late", late},
        {"less urgent", in_time},
        {"urgent", urgent}};
    std::list<gateway::gateway_request> requests;
    std::list<gateway::send_slot_waiter> waiters;
    for (const auto& [id, position] : places) {
        set_up(requests.emplace_back(), host, id);
        waiters.push_back({.due = now + 50ms, .position = position, .request = &requests.back()});
        host.state.send_slot_queues[service].waiters.push_back(&waiters.back());
    }
    host.clock.advance(10ms);
    const auto queue = host.dump("send_slot");
    CHECK(ids_of(queue) == std::vector<std::string>{"urgent", "less urgent", "late", "unknown load"});
    const auto& rows = queue.at("rows");
    CHECK(rows[0].at("can_be_in_time") == true);
    CHECK(rows[0].at("due_in_ms") == 40);
    CHECK(rows[2].at("can_be_in_time") == false);
    CHECK(rows[3].at("can_be_in_time").is_null());
}

// Guards against rows of requests that have ended, and against pointers to them.
TEST_CASE("a plain request is shown while it waits, until its caller is gone or it has ended") {
    test_host host;
    add_resting_upstream(host, host.clock.now() + 2s);
    std::shared_ptr<gateway::request_cancellation> cancellation;
    bool has_ended = false;
    wire::spawn_coroutine(host.context, [&](wire::yield_context yield) {
        gateway::gateway_request request;
        set_up(request, host, "plain");
        cancellation = request.cancellation;
        CHECK_FALSE(gateway::await_send_slot(request, yield));
        has_ended = true;
    });
    host.context.poll();
    REQUIRE_FALSE(has_ended);
    CHECK(ids_of(host.dump("send_slot")) == std::vector<std::string>{"plain"});
    CHECK(host.dump("send_slot").at("rows")[0].at("due_in_ms") == 2'000);
    cancellation->did_lose_caller();
    CHECK(gateway::dump_waiting(host.state).empty());
    host.state.send_slot_queues[service].waiters.front()->wake->cancel();
    host.context.poll();
    CHECK(has_ended);
    CHECK(host.state.send_slot_queues[service].waiters.empty());
    CHECK(gateway::dump_waiting(host.state).empty());
}

TEST_CASE("the requests that other hosts report as waiting are counted by service") {
    test_host host;
    host.settings->shares.services.emplace_back("another");
    host.settings->shares.service_of.emplace_back(host::key_of("another", {}), 1);
    std::ranges::sort(host.settings->shares.service_of);
    const decision::waiter own = {.share_key = host::key_of(service, {"small"})};
    const decision::waiter other = {.share_key = host::key_of("another", {})};
    host.state.loads.by_host[{"second"}].report.waiters = {own, own, other};
    host.state.loads.by_host[{"third"}].report.waiters = {own};
    host.state.loads.by_host[{"idle"}] = {};
    const auto queue = host.dump("engine_slot");
    CHECK(queue.at("total") == 0);
    CHECK(queue.at("total_on_other_hosts") == 3);
    CHECK(queue.at("other_hosts") == 2);
    CHECK(gateway::dump_waiting(host.state).at("another").at("engine_slot").at("total_on_other_hosts") == 1);
}

// Guards against a host that is counted twice, and against waiting requests that no service is shown to have.
TEST_CASE("reported requests of shares that are not in the settings are counted for each service") {
    test_host host;
    const decision::waiter own = {.share_key = host::key_of(service, {"small"})};
    const decision::waiter unknown = {.share_key = host::key_of(service, {"unknown"})};
    host.state.loads.by_host[{"second"}].report.waiters = {own, unknown};
    host.state.loads.by_host[{"third"}].report.waiters = {own};
    CHECK(host.dump("engine_slot").at("total_on_other_hosts") == 3);
    CHECK(host.dump("engine_slot").at("other_hosts") == 2);
    const gateway::peer_waiters counted = gateway::count_peer_waiters(host.state);
    CHECK(counted.of("another") == gateway::reported_waiters{.hosts = 1, .requests = 1});
}

// Guards against a read of settings that are not known.
TEST_CASE("requests that wait are shown while no settings are known") {
    test_host host;
    host.state.settings = nullptr;
    engine_waiters waiters(host);
    waiters.add("one");
    host.state.loads.by_host[{"second"}].report.waiters = {{}};
    const auto queue = host.dump("engine_slot");
    CHECK(ids_of(queue) == std::vector<std::string>{"one"});
    CHECK(queue.at("rows")[0].at("ahead_on_all_hosts") == 0);
    CHECK(queue.at("total_on_other_hosts") == 1);
}

// Guards against a leak of what belongs to callers, and against an exception for a caller's request id that
// is no UTF-8, which would end the host's process.
TEST_CASE("the state as text has the facts of the last decision, no key and no prompt, and is UTF-8") {
    test_host host;
    gateway::unsent_data_bound unsent(host.state, 1'000'000);
    host.state.unsent_data = &unsent;
    gateway::collected_bodies collected(2'000'000);
    host.state.collected = &collected;
    engine_waiters waiters(host);
    waiters.add("id\xff").slot_facts = {{"has_room", false}, {"waiting_ahead", 7}};
    const std::string text = gateway::to_operator_text(gateway::dump_state(host.state));
    const auto state = nlohmann::json::parse(text);
    const auto row = state.at("waiting").at(service).at("engine_slot").at("rows")[0];
    CHECK(state.at("collected_answers").at("bound") == 2'000'000);
    CHECK(state.at("collected_requests").at("bytes") == 0);
    CHECK(row.at("last_decision").at("waiting_ahead") == 7);
    CHECK(row.at("request") == "id\xef\xbf\xbd");
    CHECK(text.find(secret_prompt) == std::string::npos);
    CHECK(text.find(secret_key) == std::string::npos);
}

// Guards against an exception for a caller's request id that is no UTF-8, which would end the host's process.
TEST_CASE("the traces of a request whose id is no UTF-8 are found by its bytes and are UTF-8") {
    test_host host;
    const std::string id = "id\xff";
    gateway::record_completed(host.state, {id, {{"request", id}}});
    const auto traces = nlohmann::json::parse(gateway::to_operator_text(gateway::traces_of(host.state, id)));
    CHECK(traces.at(0).at("request") == "id\xef\xbf\xbd");
    CHECK(gateway::traces_of(host.state, "id").empty());
}
