// SPDX-License-Identifier: BSD-2-Clause
#include <soak/soak_callers.h>

#include <soak/event_text.h>
#include <soak/settings_document.h>

#include <algorithm>
#include <cstdlib>
#include <random>
#include <string_view>

namespace postpaddle::soak {

namespace {

using base::boot_clock;
using base::time_point;

constexpr milliseconds request_deadline(12'000);
/// How long a caller waits for the last word after its deadline.
constexpr milliseconds patience(2'000);
constexpr milliseconds connect_timeout(1'000);
/// A caller with less time left does not take its stream up again.
constexpr milliseconds shortest_take_up(500);
constexpr milliseconds pause_without_host(30);
constexpr int most_tries = 3;
/// Events of a stream that its caller leaves early: it would last far longer.
constexpr int events_of_left_stream = 300;
/// Of ten calls of callers that take streams up, those that are such streams.
constexpr int taken_up_of_ten = 8;
/// Bodies that several callers send.
constexpr int alike_bodies = 20;
constexpr std::size_t bytes_of_named_body = 64;

const char* path_of(request_kind kind) {
    switch (kind) {
    case request_kind::once:
        return "/once/";
    case request_kind::again:
        return "/again/";
    case request_kind::stream:
        return "/stream/";
    case request_kind::resumable_stream:
        return "/resume/";
    }
    return "/";
}

attempt_end to_attempt_end(exchange_end end) {
    switch (end) {
    case exchange_end::whole:
        return attempt_end::answered;
    case exchange_end::closed:
        return attempt_end::closed;
    case exchange_end::timeout:
        return attempt_end::unanswered;
    case exchange_end::left:
        return attempt_end::left;
    case exchange_end::unsent:
        return attempt_end::not_connected;
    }
    return attempt_end::closed;
}

wire::http_headers request_headers(const std::string& id, int events,
                                   milliseconds deadline = request_deadline) {
    return {{"Host", "cluster.example"},
            {"X-Attempt-Id", id},
            {"X-Deadline-Ms", std::to_string(deadline.count())},
            {"X-Token-Usage", "100," + std::to_string(std::max(1, events))}};
}

class caller {
public:
    caller(const soak_callers::options& options, int number)
        : options(&options), number(number),
          random(options.seed * 1'000 + static_cast<std::uint64_t>(number)) {}

    std::vector<attempt> run(const std::stop_token& stop) {
        while (!stop.stop_requested()) {
            if (this->options->takes_up_streams && this->between(1, 10) <= taken_up_of_ten)
                this->call_with_take_ups(stop);
            else
                this->call(stop);
            // Some connections rest for long between two requests.
            const bool is_long = this->between(1, 25) == 1;
            std::this_thread::sleep_for(is_long ? max_rest : milliseconds(this->between(2, 60)));
        }
        return std::move(this->attempts);
    }

private:
    int between(int low, int high) {
        return low + static_cast<int>(this->random() % (static_cast<std::uint64_t>(high - low) + 1));
    }

    /// One request with its repetitions.
    void call(const std::stop_token& stop) {
        attempt plan;
        plan.kind = static_cast<request_kind>(this->between(0, 3));
        const bool is_stream =
            plan.kind == request_kind::stream || plan.kind == request_kind::resumable_stream;
        const bool leaves = this->between(1, 8) == 1;
        if (is_stream)
            plan.events =
                leaves ? events_of_left_stream : this->between(3, this->between(1, 6) == 1 ? 250 : 60);
        if (is_stream && this->options->has_large_requests && this->between(1, 2) == 1)
            plan.events = this->between(events_of_left_stream, 2 * events_of_left_stream);
        plan.request_body_bytes = this->body_bytes();
        for (int tries = 0; tries < most_tries; ++tries) {
            const auto answer = this->send_once(plan, is_stream && leaves, stop);
            if (!answer || !this->may_repeat(this->attempts.back()))
                return;
            this->client.close();
            this->wait_as_told(*answer);
        }
    }

    /// A stream that its caller takes up again at any host until it has all events or its time is over.
    void call_with_take_ups(const std::stop_token& stop) {
        attempt plan;
        plan.kind = request_kind::resumable_stream;
        plan.names_attempt = this->between(1, 2) == 1;
        plan.has_alike_body = this->between(1, 2) == 1;
        plan.events = this->between(40, 140);
        std::string body = "prompt of " + std::to_string(this->number) + "-" + std::to_string(this->sent);
        if (plan.has_alike_body) {
            const int number_of_body = this->between(1, alike_bodies);
            body = "prompt " + std::to_string(number_of_body);
            plan.events = 40 + 5 * number_of_body;
        }
        body.resize(bytes_of_named_body, ' ');
        plan.request_body_bytes = body.size();
        std::string began_with;
        int refusals = 0;
        const time_point ends_at =
            boot_clock::now() +
            milliseconds(this->between(3'000, static_cast<int>(request_deadline.count())));
        while (!stop.stop_requested()) {
            const bool is_kept = this->open_connection(stop);
            plan.deadline = std::chrono::duration_cast<milliseconds>(ends_at - boot_clock::now());
            if (!this->client.is_open() || plan.deadline < shortest_take_up)
                return;
            const exchange result = this->send_part_of_stream(plan, body, began_with, is_kept);
            const attempt& row = this->attempts.back();
            if (began_with.empty() && plan.events_before > 0)
                began_with = row.id;
            const bool is_whole = plan.events_before >= plan.events ||
                                  (row.end == attempt_end::answered && wire::is_success(row.status));
            const bool is_denied = row.status >= 400 && row.status < 500 && !row.says_not_run;
            refusals += row.says_not_run ? 1 : 0;
            if (is_whole || is_denied || refusals >= this->options->max_refusals)
                return;
            // Some stay with the host that refused them, as a caller with one connection does.
            if (this->between(1, 2) == 1)
                this->client.close();
            if (wire::find_header(result.answer.headers, "Retry-After").empty())
                std::this_thread::sleep_for(milliseconds(this->between(100, 300)));
            else
                this->wait_as_told(result);
        }
    }

    /// Sends the next attempt of the stream and notes which event came last.
    exchange send_part_of_stream(attempt& plan, const std::string& body, const std::string& began_with,
                                 bool is_kept) {
        attempt row = plan;
        row.id = this->next_id();
        if (plan.stream.empty())
            plan.stream = row.stream = row.id;
        row.host = this->host;
        row.is_on_kept_connection = is_kept;
        wire::http_request request{"POST", path_of(plan.kind),
                                   request_headers(row.id, plan.events, plan.deadline), body};
        if (plan.events_before > 0) {
            request.headers.push_back({"Last-Event-Id", std::to_string(plan.events_before)});
            if (plan.names_attempt)
                request.headers.push_back({"Resumes", began_with});
        }
        exchange_options limits{.timeout = plan.deadline + patience};
        if (this->between(1, 3) == 1)
            limits.leave_after = milliseconds(this->between(50, 2'000));
        exchange result = this->client.send(request, limits);
        if (wire::is_success(result.answer.status))
            for (const stream_event& event : parse_events(result.answer.body))
                plan.events_before = std::max(plan.events_before, event.id);
        this->record(std::move(row), result);
        return result;
    }

    std::string next_id() { return "c" + std::to_string(this->number) + "-" + std::to_string(++this->sent); }

    std::size_t body_bytes() {
        if (this->options->has_large_requests && this->between(1, 4) == 1)
            return largest_body_bytes;
        const int draw = this->between(1, 20);
        return draw == 1 ? large_body_bytes : draw <= 3 ? allowed_body_bytes : 20;
    }

    static bool may_repeat(const attempt& row) {
        if (row.end == attempt_end::left || (row.status >= 200 && row.status < 300) || row.status == 413)
            return false;
        return !may_run_once_only(row.kind) || row.says_not_run;
    }

    void wait_as_told(const exchange& ended) {
        const std::string value(wire::find_header(ended.answer.headers, "Retry-After"));
        const double told_ms = 1'000 * std::atof(value.c_str());
        std::this_thread::sleep_for(
            milliseconds(std::clamp(static_cast<int>(told_ms), 10, static_cast<int>(max_rest.count()))));
    }

    /// Returns nothing if no host could be reached.
    std::optional<exchange> send_once(const attempt& plan, bool leaves, const std::stop_token& stop) {
        const bool is_kept = this->open_connection(stop);
        if (!this->client.is_open())
            return std::nullopt;
        attempt row = plan;
        row.id = this->next_id();
        row.host = this->host;
        row.is_on_kept_connection = is_kept;
        row.deadline = request_deadline;
        wire::http_request request{"POST", path_of(plan.kind), request_headers(row.id, plan.events),
                                   std::string(plan.request_body_bytes, 'x')};
        exchange_options limits{.timeout = request_deadline + patience};
        if (leaves && this->between(1, 2) == 1)
            limits.leave_after = milliseconds(this->between(1, 60));
        else if (leaves)
            limits.leave_after_bytes = static_cast<std::size_t>(this->between(1, 400));
        exchange result = this->client.send(request, limits);
        this->record(std::move(row), result);
        return result;
    }

    /// Opens a connection if there is none. Returns whether there was one.
    bool open_connection(const std::stop_token& stop) {
        if (this->client.is_open()) {
            this->extra_bytes = this->client.check_idle();
            if (this->extra_bytes > 0 && !this->attempts.empty())
                this->attempts.back().extra_bytes += this->extra_bytes;
        }
        if (this->client.is_open())
            return true;
        while (!stop.stop_requested()) {
            this->host = this->between(1, static_cast<int>(this->options->hosts.size()));
            const std::string& address = this->options->hosts.at(static_cast<std::size_t>(this->host) - 1);
            if (this->client.connect(address, connect_timeout))
                break;
            std::this_thread::sleep_for(pause_without_host);
        }
        return false;
    }

    void record(attempt row, const exchange& result) {
        row.end = to_attempt_end(result.end);
        row.sent_at = result.sent_at;
        row.ended_at = result.ended_at;
        row.status = result.answer.status;
        row.answered_id = wire::find_header(result.answer.headers, "X-Attempt-Id");
        row.seal = wire::find_header(result.answer.headers, "X-Response-Seal");
        row.says_not_run = row.status == 429 || row.status == 503 || row.status == 408 || row.status == 421 ||
                           wire::find_header(result.answer.headers, "Postpaddle-Outcome") == "not-run";
        row.body = result.answer.body;
        row.extra_bytes = result.extra_bytes;
        this->attempts.push_back(std::move(row));
    }

    const soak_callers::options* options;
    int number;
    std::mt19937_64 random;
    keep_alive_client client;
    int host = 1;
    int sent = 0;
    std::size_t extra_bytes = 0;
    std::vector<attempt> attempts;
};

} // namespace

soak_callers::soak_callers(options new_options) : callers_options(std::move(new_options)) {
    for (int number = 1; number <= this->callers_options.count; ++number)
        this->threads.emplace_back([this, number](const std::stop_token& stop) {
            auto rows = caller(this->callers_options, number).run(stop);
            const std::scoped_lock lock(this->mutex);
            this->attempts.insert(this->attempts.end(), std::make_move_iterator(rows.begin()),
                                  std::make_move_iterator(rows.end()));
        });
}

std::vector<attempt> soak_callers::stop() {
    for (std::jthread& thread : this->threads)
        thread.request_stop();
    this->threads.clear();
    return std::move(this->attempts);
}

settings_probers::settings_probers(const std::vector<std::string>& hosts, const settings_journal& journal)
    : journal(&journal) {
    int number = 0;
    for (const std::string& address : hosts) {
        ++number;
        this->threads.emplace_back(
            [this, number, address](const std::stop_token& stop) { this->run(number, address, stop); });
    }
}

void settings_probers::run(int host, const std::string& address, const std::stop_token& stop) {
    static constexpr milliseconds pause(80);
    static constexpr int versions_back = 3;
    constexpr int not_found = 404;
    keep_alive_client client;
    for (int number = 1; !stop.stop_requested(); ++number) {
        std::this_thread::sleep_for(pause);
        (void)client.check_idle();
        if (!client.is_open() && !client.connect(address, connect_timeout))
            continue;
        const int version = std::max(2, this->journal->newest() - number % versions_back);
        const std::string id = "probe-" + std::to_string(host) + "-" + std::to_string(number);
        const auto result =
            client.send({"POST", probe_path(version), request_headers(id, 0), ""}, {.timeout = patience});
        const bool is_found = wire::is_success(result.answer.status);
        if (result.end != exchange_end::whole || (!is_found && result.answer.status != not_found))
            continue;
        const std::scoped_lock lock(this->mutex);
        this->probes.push_back({host, version, result.sent_at, result.ended_at, is_found});
    }
}

std::vector<settings_probe> settings_probers::stop() {
    for (std::jthread& thread : this->threads)
        thread.request_stop();
    this->threads.clear();
    return std::move(this->probes);
}

} // namespace postpaddle::soak
