// SPDX-License-Identifier: BSD-2-Clause
#include <support/resumable_caller.h>

#include <catch2/catch.hpp>

#include <future>
#include <thread>

namespace postpaddle::test {

namespace {

using steady_clock = std::chrono::steady_clock;

constexpr int ok_status = 200;
constexpr int unavailable_status = 503;
constexpr const char* ok_line = "HTTP/1.1 200";

/// From a value of `Retry-After`, in seconds or a fraction of them.
std::chrono::milliseconds parse_pause(const std::string& value) {
    constexpr double milliseconds_per_second = 1'000;
    const double seconds = value.empty() ? 0 : std::stod(value);
    return std::chrono::milliseconds(static_cast<int>(seconds * milliseconds_per_second));
}

std::chrono::milliseconds retry_after(const wire::http_response& response) {
    return parse_pause(std::string(wire::find_header(response.headers, "Retry-After")));
}

/// Of a response as received.
std::chrono::milliseconds retry_after(const std::string& bytes) {
    const std::string header = "\r\nRetry-After: ";
    const auto at = bytes.find(header);
    if (at == std::string::npos)
        return {};
    const auto begin = at + header.size();
    return parse_pause(bytes.substr(begin, bytes.find("\r\n", begin) - begin));
}

} // namespace

received_events parse_events(const std::string& text, int last_before) {
    received_events events{.versions = {}, .last = last_before};
    for (auto at = text.find("id: "); at != std::string::npos; at = text.find("id: ", at + 1)) {
        const auto end = text.find("\n\n", at);
        const auto version = text.find('@', at);
        if (end == std::string::npos || version == std::string::npos || version > end)
            break;
        const int id = std::stoi(text.substr(at + 4));
        events.is_in_order &= id == events.last + 1;
        events.last = id;
        events.versions.insert(text.substr(version + 1, end - version - 1));
    }
    return events;
}

resumable_caller::resumable_caller(resumable_caller_options caller_options)
    : options(std::move(caller_options)), request_id(this->options.name) {
    if (this->options.body.empty())
        this->options.body = "body of " + this->options.name;
}

wire::http_request resumable_caller::request_with_id(const std::string& id) const {
    auto request = routed_request("/resume/", id);
    request.body = this->options.body;
    return request;
}

bool resumable_caller::begin(const std::string& address) {
    const auto deadline = steady_clock::now() + this->options.patience;
    const std::string first_id = this->request_id;
    for (int sends = 1;; ++sends) {
        if (this->try_begin(address))
            return true;
        const auto pause = retry_after(this->refusal_text);
        if (!this->refusal_text.starts_with("HTTP/1.1 503") || steady_clock::now() + pause >= deadline)
            return false;
        std::this_thread::sleep_for(pause);
        this->request_id = first_id + "-" + std::to_string(sends);
    }
}

bool resumable_caller::try_begin(const std::string& address) {
    this->connection = std::make_unique<client_connection>(address, this->request_with_id(this->request_id));
    std::string bytes;
    while (this->events.last < events_before_leaving) {
        const std::size_t before = bytes.size();
        bytes = this->connection->read_at_least(before + 1);
        const bool is_other_answer =
            bytes.find("\r\n\r\n") != std::string::npos && !bytes.starts_with(ok_line);
        if (is_other_answer || bytes.size() == before) {
            this->refusal_text = bytes;
            return false;
        }
        this->events = parse_events(bytes);
    }
    this->versions_at_start = this->events.versions;
    return true;
}

void resumable_caller::leave() {
    this->connection->drop();
    this->connection.reset();
}

int resumable_caller::resume(const std::string& address, const std::string& resumed) {
    const auto deadline = steady_clock::now() + this->options.patience;
    while (true) {
        const std::string suffix = this->returns == 0 ? "" : "-" + std::to_string(this->returns);
        ++this->returns;
        auto request = this->request_with_id(this->options.name + "-again" + suffix);
        request.headers.push_back({"Last-Event-Id", std::to_string(this->events.last)});
        if (!resumed.empty())
            request.headers.push_back({"Resumes", resumed});
        const auto answer = stand_in::http_exchange(address, request);
        const int status = answer ? answer->status : 0;
        const bool may_return =
            status == unavailable_status && steady_clock::now() + retry_after(*answer) < deadline;
        if (may_return) {
            std::this_thread::sleep_for(retry_after(*answer));
            continue;
        }
        if (status != ok_status)
            return status;
        const received_events rest = parse_events(answer->body, this->events.last);
        this->events.versions.insert(rest.versions.begin(), rest.versions.end());
        this->events.last = rest.last;
        this->events.is_in_order &= rest.is_in_order;
        return status;
    }
}

bool resumable_caller::is_complete() const {
    return this->events.is_in_order && this->events.last == resumed_stream_length;
}

bool resumable_caller::began_at(const std::string& version) const {
    return this->versions_at_start.contains(version);
}

void count(stream_counts& counts, const resumable_caller& caller, int status) {
    counts.mixed += caller.received().versions.size() > 1 ? 1 : 0;
    counts.complete += caller.is_complete() ? 1 : 0;
    counts.refused += status == unavailable_status ? 1 : 0;
}

std::vector<server_plan> engines_of_two_versions() {
    return {{.id = "p1", .service = "engines", .stage = "prefill", .software_version = "v1"},
            {.id = "p2", .service = "engines", .stage = "prefill", .software_version = "v2"},
            {.id = "d1", .service = "engines", .stage = "decode", .software_version = "v1"},
            {.id = "d2", .service = "engines", .stage = "decode", .software_version = "v1"},
            {.id = "d3", .service = "engines", .stage = "decode", .software_version = "v2"},
            {.id = "d4", .service = "engines", .stage = "decode", .software_version = "v2"}};
}

void await_peers(const gateway_cluster& cluster, int hosts) {
    for (int host = 1; host <= hosts; ++host)
        REQUIRE(eventually([&] {
            const auto state = cluster.state_of(host);
            return state.is_object() && state.at("peers").size() == static_cast<std::size_t>(hosts - 1);
        }));
}

resumable_callers begin_streams(const gateway_cluster& cluster, const stream_plan& plan) {
    resumable_callers callers;
    std::vector<std::future<bool>> begun;
    for (int stream = 0; stream < plan.number; ++stream) {
        callers.push_back(std::make_unique<resumable_caller>(resumable_caller_options{
            .name = plan.name + "-" + std::to_string(stream),
            .body = plan.alike == 0 ? "" : plan.name + " alike " + std::to_string(stream % plan.alike),
            .patience = plan.patience}));
        const int host = plan.hosts[static_cast<std::size_t>(stream) % plan.hosts.size()];
        begun.push_back(std::async(std::launch::async, [&cluster, host, caller = callers.back().get()] {
            return caller->begin(cluster.callers_address(host));
        }));
    }
    int unbegun = 0;
    std::string refusal;
    for (std::size_t stream = 0; stream < begun.size(); ++stream)
        if (!begun[stream].get()) {
            ++unbegun;
            refusal = callers[stream]->refusal();
        }
    INFO("one of the refusals: " << refusal);
    REQUIRE(unbegun == 0);
    return callers;
}

void leave_all(const resumable_callers& callers) {
    for (const auto& caller : callers)
        caller->leave();
}

stream_counts resume_streams(const gateway_cluster& cluster, const resumable_callers& callers,
                             const std::vector<int>& hosts, attempt_naming naming) {
    std::vector<std::future<int>> statuses;
    for (std::size_t stream = 0; stream < callers.size(); ++stream)
        statuses.push_back(std::async(std::launch::async, [&, stream] {
            return callers[stream]->resume(cluster.callers_address(hosts[stream % hosts.size()]),
                                           naming == attempt_naming::named ? callers[stream]->id() : "");
        }));
    stream_counts counts;
    for (std::size_t stream = 0; stream < callers.size(); ++stream)
        count(counts, *callers[stream], statuses[stream].get());
    return counts;
}

} // namespace postpaddle::test
