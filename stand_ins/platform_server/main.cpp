// SPDX-License-Identifier: BSD-2-Clause
// Stand-in for a platform server: a plain server, a prefill engine or a decode engine. Faults are injected
// through `/control`.
// Source: "What postpaddle speaks", Servers, and Prefill and decode.

#include <common/stand_in_server.h>
#include <platform_server/run_log.h>

#include <gflags/gflags.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <map>
#include <random>
#include <set>

DEFINE_string(address, "127.0.0.1", "IP address to listen on");
DEFINE_int32(port, 0, "port at the address; 0 lets the system choose");
DEFINE_string(id, "i-1", "id of this start of the server");
DEFINE_string(stage, "", "empty for a plain server, else `prefill` or `decode`");
DEFINE_int32(work_ms, 5, "time that a request, or one event of a stream, takes");
DEFINE_int32(events, 5, "events of a stream");
DEFINE_int32(event_padding, 0, "bytes added to each event of a stream");
DEFINE_string(fatal_part, "", "the process exits when it runs a request with this part in its prompt");
DEFINE_string(run_log, "",
              "file that gets a line when a request arrives or ends; arrivals are then not kept in memory");
DEFINE_bool(
    names_requests, false,
    "answers and events name their request, and a stream has as many events as `X-Token-Usage` asks for");
DEFINE_string(software_version, "", "appended to the text of each event; empty: nothing is appended");

namespace {

using namespace postpaddle;
using stand_in::answer_end;
using stand_in::json;
using std::chrono::milliseconds;
using wire::find_header;

/// Faults injected through `/control`. A count is the number of requests still to be affected.
struct server_faults {
    int rejected_requests = 0;   ///< Answered with status 503 without being executed.
    int failed_requests = 0;     ///< Executed, then answered with status 500.
    int lost_responses = 0;      ///< Executed, then the connection is closed.
    int hung_responses = 0;      ///< While above 0, requests get no response.
    int duplicate_responses = 0; ///< Answered twice.
    int unsealed_responses = 0;  ///< Answered without headers, including the seal.
    int unnamed_refusals = 0;    ///< Executed, then answered as if not, without the request's id.
    int late_copies = 0; ///< Short answers sent once more, where the next answer on the connection is due.
    int break_stream_after_events = -1; ///< Breaks the next new streams after this many events.
    int breaks = 1;                     ///< Number of streams still to be broken.
    int failed_kv_fetches = 0;          ///< Rejected because the KV cache can't be fetched.
    std::string fatal_body;             ///< The process exits when it executes this body.
    int exit_delay_ms = 0; ///< Between closing the connection of that request and the exit; not a count.
    std::string advertised_load;  ///< Value of `X-Server-Load`; empty: the actual load.
    int plain_slots = 0;          ///< Plain requests executed at a time; 0: any number.
    int plain_queue = 0;          ///< Requests beyond these that wait; more are rejected.
    std::string advertised_limit; ///< Value of `Server-Limit`; empty: not sent.
    std::string retry_after;      ///< `Retry-After` of status 503, in seconds; empty: not sent.
    int silences = 0;             ///< Runs still to be silent once, which then go on.
    int silence_ms = 0;           ///< How long each of them is silent; not a count.
    int silence_before_event = 1; ///< Event of a stream before which it is silent; not a count.
    int affects_one_in = 1;       ///< Silences and endless events strike one in so many runs that they could.
    bool is_leaving = false;      ///< Sends `Server-Leaving` in all responses.
    int endless_responses = 0;  ///< Body without end, also of a rejection; of a new stream: its second event.
    std::string endless_text;   ///< What those repeat.
    int endless_pause_ms = 0;   ///< Between two repetitions; 0: as fast as they are read. Not a count.
    int endless_calls = 0;      ///< `/api/` calls whose response has a body without end.
    double closed_fraction = 0; ///< Of requests whose connection is closed without an answer.
    int endless_foreign_responses = 0; ///< Begins with a body without end that echoes another id.
    base::time_point silent_until{};   ///< Until then nothing is sent; the work goes on afterwards.
};

class platform_server {
public:
    explicit platform_server(wire::asio::io_context& context) : context(&context) {}

    void serve(const wire::http_request& request, wire::caller_connection& connection,
               wire::yield_context yield) {
        if (request.target == "/control") {
            (void)connection.send(this->control(stand_in::parse_json_body(request)), yield);
            return;
        }
        if (const auto late = this->late_answers.extract(&connection))
            (void)connection.send(late.mapped(), yield);
        if (request.target.starts_with("/api/"))
            this->wait_while_silent(connection, yield);
        if (request.target.starts_with("/api/") && consume_fault(this->faults.endless_calls))
            this->send_without_end(request, connection, yield);
        else if (request.target == "/api/report")
            this->send_short(this->report(), connection, yield);
        else if (request.target == "/api/kv-list")
            this->send_short(this->held_segments(), connection, yield);
        else if (request.target == "/api/order")
            (void)connection.send(this->handle_order(request), yield);
        else if (request.target.starts_with("/api/kv-handle/"))
            this->release_handle(request, connection, yield);
        else
            this->handle_request(request, connection, yield);
    }

    /// Drops what was still to be sent. The next connection may have the same address in memory.
    void did_end(const wire::caller_connection& connection) { this->late_answers.erase(&connection); }

private:
    static bool consume_fault(int& count) {
        if (count <= 0)
            return false;
        --count;
        return true;
    }

    /// The same for faults that strike a share of the runs only.
    bool consume_fault_of_share(int& count) {
        if (count <= 0 || ++this->affectable_runs % std::max(1, this->faults.affects_one_in) != 0)
            return false;
        return consume_fault(count);
    }

    /// Sends a short answer, which a fault may send once more.
    void send_short(const wire::http_response& response, wire::caller_connection& connection,
                    wire::yield_context yield) {
        (void)connection.send(response, yield);
        if (consume_fault(this->faults.late_copies))
            this->late_answers[&connection] = response;
    }

    void sleep(milliseconds delay, wire::yield_context yield) {
        wire::error_code ignored;
        wire::boot_timer timer(*this->context, delay);
        timer.async_wait(yield[ignored]);
    }

    void sleep_while_connected(milliseconds duration, const wire::caller_connection& connection,
                               wire::yield_context yield) {
        const base::time_point end = this->clock.now() + duration;
        while (this->clock.now() < end && !connection.is_closed())
            this->sleep(std::min(duration, milliseconds(10)), yield);
    }

    void wait_while_silent(const wire::caller_connection& connection, wire::yield_context yield) {
        while (this->clock.now() < this->faults.silent_until && !connection.is_closed())
            this->sleep(milliseconds(10), yield);
    }

    [[nodiscard]] wire::http_headers response_headers(const wire::http_request& request) const {
        const std::string id(find_header(request.headers, "X-Attempt-Id"));
        wire::http_headers headers = {{"X-Attempt-Id", id},
                                      {"X-Response-Seal", "seal." + FLAGS_id + "." + id},
                                      {"X-Server-Load", this->load()}};
        this->add_advertised_headers(headers);
        return headers;
    }

    [[nodiscard]] std::string load() const {
        if (!this->faults.advertised_load.empty())
            return this->faults.advertised_load;
        const int slots = this->faults.plain_slots;
        if (slots == 0)
            return std::to_string(this->running_requests) + ",0,8";
        return std::to_string(std::min(slots, this->running_requests)) + "," +
               std::to_string(std::max(0, this->running_requests - slots)) + "," + std::to_string(slots) +
               ",100";
    }

    /// Adds the headers in which the server advertises its own state.
    void add_advertised_headers(wire::http_headers& headers) const {
        if (!this->faults.advertised_limit.empty())
            headers.push_back({"Server-Limit", this->faults.advertised_limit});
        if (this->faults.is_leaving)
            headers.push_back({"Server-Leaving", "1"});
    }

    void reject(const wire::http_request& request, wire::caller_connection& connection, int status,
                wire::yield_context yield) {
        wire::http_headers headers = {
            {"X-Attempt-Id", std::string(find_header(request.headers, "X-Attempt-Id"))},
            {"X-Not-Executed", "1"},
            {"X-Instance-Id", FLAGS_id},
            {"X-Server-Load", this->load()}};
        this->add_advertised_headers(headers);
        if (status == 503 && !this->faults.retry_after.empty())
            headers.push_back({"Retry-After", this->faults.retry_after});
        this->wait_while_silent(connection, yield);
        this->send_short({status, std::move(headers), ""}, connection, yield);
    }

    /// Whether the connection of this request is to be closed without an answer, before any work on it.
    bool draws_closed() {
        return this->faults.closed_fraction > 0 &&
               std::uniform_real_distribution<>(0, 1)(this->random) < this->faults.closed_fraction;
    }

    void record_request(const wire::http_request& request, bool is_executed, bool is_closed) {
        if (this->run_log.is_open())
            return;
        json headers = json::object();
        for (const wire::http_header& header : request.headers)
            headers[header.name] = header.value;
        this->received_requests.push_back(
            {{"at_ms", base::to_milliseconds(this->clock.now().time_since_epoch())},
             {"target", request.target},
             {"method", request.method},
             {"body", request.body},
             {"headers", std::move(headers)},
             {"runs", is_executed},
             {"is_closed", is_closed}});
    }

    void handle_request(const wire::http_request& request, wire::caller_connection& connection,
                        wire::yield_context yield) {
        const bool is_other_instance = find_header(request.headers, "X-Expect-Instance") != FLAGS_id;
        const bool is_prefill = find_header(request.headers, "X-Stage") == "prefill";
        const std::string_view cache_source = find_header(request.headers, "X-Cache-Source");
        const bool is_wrong_stage = !FLAGS_stage.empty() && is_prefill != (FLAGS_stage == "prefill");
        const bool is_refused = is_other_instance || is_wrong_stage ||
                                consume_fault(this->faults.rejected_requests) || this->is_full() ||
                                (!cache_source.empty() && consume_fault(this->faults.failed_kv_fetches));
        const bool is_closed = !is_refused && this->draws_closed();
        this->record_request(request, !is_refused && !is_closed && !is_prefill, is_closed);
        const int refused_with = is_refused ? (is_other_instance || is_wrong_stage ? 421 : 503) : 0;
        const int number = this->run_log.write_arrival(request, is_prefill, refused_with, this->clock.now());
        answer_end end = answer_end::sent;
        if (is_closed) {
            connection.abort();
            end = answer_end::broken_off;
        } else if (is_refused && consume_fault(this->faults.endless_responses)) {
            connection.begin_stream(
                {503,
                 {{"X-Attempt-Id", std::string(find_header(request.headers, "X-Attempt-Id"))},
                  {"X-Not-Executed", "1"}}});
            this->append_without_end(connection, yield);
            end = answer_end::without_end;
        } else if (is_refused) {
            this->reject(request, connection, refused_with, yield);
        } else {
            end = this->execute(request, is_prefill, connection, yield);
        }
        this->run_log.write_end(number, end, this->clock.now());
    }

    answer_end execute(const wire::http_request& request, bool is_prefill,
                       wire::caller_connection& connection, wire::yield_context yield) {
        ++this->running_requests;
        this->record_prefix_segments(request);
        connection.watch_for_disconnect([this] { ++this->disconnected_callers; });
        if (!is_prefill && is_fatal(request))
            this->crash_during(request, connection, yield);
        const answer_end end = is_prefill                ? this->run_prefill(request, connection, yield)
                               : FLAGS_stage == "decode" ? this->stream_events(request, connection, yield)
                                                         : this->respond(request, connection, yield);
        --this->running_requests;
        return end;
    }

    [[nodiscard]] bool is_full() const {
        return this->faults.plain_slots > 0 &&
               this->running_requests >= this->faults.plain_slots + this->faults.plain_queue;
    }

    [[nodiscard]] bool is_fatal(const wire::http_request& request) const {
        const bool has_fatal_part =
            !FLAGS_fatal_part.empty() &&
            find_header(request.headers, "X-Prompt-Prefix").find(FLAGS_fatal_part + ":") !=
                std::string_view::npos;
        return has_fatal_part ||
               (!this->faults.fatal_body.empty() && request.body == this->faults.fatal_body);
    }

    /// Crashes the process while it executes a request: all connections break and the port is closed. A
    /// decode engine has sent the head of its stream by then.
    [[noreturn]] void crash_during(const wire::http_request& request, wire::caller_connection& connection,
                                   wire::yield_context yield) {
        if (FLAGS_stage == "decode")
            connection.begin_stream({200, this->response_headers(request)});
        this->sleep(milliseconds(FLAGS_work_ms), yield);
        if (this->faults.exit_delay_ms > 0) {
            connection.abort();
            this->sleep(milliseconds(this->faults.exit_delay_ms), yield);
        }
        std::_Exit(EXIT_FAILURE);
    }

    void fall_silent(const wire::caller_connection& connection, wire::yield_context yield) {
        if (this->consume_fault_of_share(this->faults.silences))
            this->sleep_while_connected(milliseconds(this->faults.silence_ms), connection, yield);
    }

    answer_end run_prefill(const wire::http_request& request, wire::caller_connection& connection,
                           wire::yield_context yield) {
        this->sleep(milliseconds(FLAGS_work_ms), yield);
        this->fall_silent(connection, yield);
        while (this->faults.hung_responses > 0 && !connection.is_closed())
            this->sleep(milliseconds(10), yield);
        if (consume_fault(this->faults.lost_responses)) {
            connection.abort();
            return answer_end::broken_off;
        }
        if (consume_fault(this->faults.endless_responses)) {
            this->send_without_end(request, connection, yield);
            return answer_end::without_end;
        }
        this->wait_while_silent(connection, yield);
        const std::string handle = "h" + std::to_string(++this->created_handles);
        this->handles.insert(handle);
        wire::http_response response =
            stand_in::json_response({{"kvHandle", handle}, {"tokens", 100}, {"version", 1}});
        for (auto& header : this->response_headers(request))
            response.headers.push_back(std::move(header));
        this->send_short(response, connection, yield);
        return answer_end::sent;
    }

    [[nodiscard]] wire::http_response report() const {
        return stand_in::json_response(
            {{"stage", FLAGS_stage}, {"utilization", false}, {"sequence", this->orders.size()}});
    }

    /// Lists the KV caches that the engine holds: the prefix segments of all prompts that it received.
    [[nodiscard]] wire::http_response held_segments() const {
        json rows = json::array();
        for (const std::string& segment : this->prefix_segments)
            rows.push_back({"", segment, 100, "m"});
        return stand_in::json_response({{"epoch", 1}, {"nextPageToken", 0}, {"held", rows}});
    }

    void record_prefix_segments(const wire::http_request& request) {
        std::string_view segments = find_header(request.headers, "X-Prompt-Prefix");
        while (!segments.empty()) {
            const std::string_view segment = segments.substr(0, segments.find(','));
            this->prefix_segments.insert(std::string(segment.substr(0, segment.find(':'))));
            segments.remove_prefix(std::min(segments.size(), segment.size() + 1));
        }
    }

    /// Executes an order at once. Rejects a fencing token lower than the highest one received.
    wire::http_response handle_order(const wire::http_request& request) {
        const json order = stand_in::parse_json_body(request);
        const auto token = order.value("fencingToken", std::uint64_t{0});
        if (find_header(request.headers, "X-Expect-Instance") != FLAGS_id)
            return {421, {}, ""};
        if (token == 0 || order.value("holder", "").empty())
            return {400, {}, ""};
        if (token < this->max_fencing_token)
            return {412, {}, ""};
        if (order.value("expected", this->orders.size()) != this->orders.size())
            return {409, {}, ""};
        this->max_fencing_token = token;
        this->orders.push_back(order);
        FLAGS_stage = order.at("stage").get<std::string>();
        return {202, {}, ""};
    }

    void release_handle(const wire::http_request& request, wire::caller_connection& connection,
                        wire::yield_context yield) {
        this->released_handles +=
            static_cast<int>(this->handles.erase(request.target.substr(request.target.rfind('/') + 1)));
        this->send_short({200, {}, ""}, connection, yield);
    }

    /// Appends to the body until the caller closes the connection.
    void append_without_end(wire::caller_connection& connection, wire::yield_context yield) {
        static constexpr std::size_t max_unsent_bytes = 256UL * 1024;
        static constexpr std::size_t max_part_bytes = 16UL * 1024;
        const milliseconds pause(this->faults.endless_pause_ms);
        const std::string text = this->faults.endless_text.empty() ? "x" : this->faults.endless_text;
        std::string part = text;
        while (pause.count() == 0 && part.size() < max_part_bytes)
            part += text;
        while (connection.append(part)) {
            this->endless_bytes += part.size();
            this->sleep(pause, yield);
            while (connection.unsent().bytes > max_unsent_bytes && !connection.is_closed())
                this->sleep(milliseconds(1), yield);
        }
    }

    void send_without_end(const wire::http_request& request, wire::caller_connection& connection,
                          wire::yield_context yield) {
        connection.begin_stream({200, this->response_headers(request)});
        this->append_without_end(connection, yield);
    }

    answer_end respond(const wire::http_request& request, wire::caller_connection& connection,
                       wire::yield_context yield) {
        while (this->faults.plain_slots > 0 && this->executing_requests >= this->faults.plain_slots)
            this->sleep(milliseconds(1), yield);
        ++this->executing_requests;
        this->sleep(milliseconds(FLAGS_work_ms), yield);
        this->fall_silent(connection, yield);
        --this->executing_requests;
        if (consume_fault(this->faults.lost_responses)) {
            connection.abort();
            return answer_end::broken_off;
        }
        if (consume_fault(this->faults.endless_responses)) {
            this->send_without_end(request, connection, yield);
            return answer_end::without_end;
        }
        if (consume_fault(this->faults.endless_foreign_responses)) {
            connection.begin_stream({200, {{"X-Attempt-Id", "another"}, {"X-Response-Seal", "x"}}});
            this->append_without_end(connection, yield);
            return answer_end::without_end;
        }
        while (this->faults.hung_responses > 0 && !connection.is_closed())
            this->sleep(milliseconds(10), yield);
        this->wait_while_silent(connection, yield);
        wire::http_response response{200, this->response_headers(request),
                                     "answer of " + FLAGS_id + name_suffix(request)};
        if (consume_fault(this->faults.failed_requests))
            response.status = 500;
        if (consume_fault(this->faults.unsealed_responses))
            response.headers.clear();
        if (consume_fault(this->faults.unnamed_refusals))
            response = {503, {{"X-Not-Executed", "1"}}, ""};
        (void)connection.send(response, yield);
        if (consume_fault(this->faults.duplicate_responses))
            (void)connection.send({200, {{"X-Attempt-Id", "another"}, {"X-Response-Seal", "x"}}, "surplus"},
                                  yield);
        return answer_end::sent;
    }

    /// Names the request in its answer, so that a caller can tell whose answer it got.
    [[nodiscard]] static std::string name_suffix(const wire::http_request& request) {
        return FLAGS_names_requests ? " to " + std::string(find_header(request.headers, "X-Attempt-Id")) : "";
    }

    /// Events of the request's stream: the tokens that it asks for, or the same for all.
    [[nodiscard]] static int events_of(const wire::http_request& request) {
        if (!FLAGS_names_requests)
            return FLAGS_events;
        const std::string usage(find_header(request.headers, "X-Token-Usage"));
        return std::atoi(usage.substr(usage.find(',') + 1).c_str());
    }

    [[nodiscard]] static std::string version_suffix() {
        return FLAGS_software_version.empty() ? "" : "@" + FLAGS_software_version;
    }

    answer_end stream_events(const wire::http_request& request, wire::caller_connection& connection,
                             wire::yield_context yield) {
        this->wait_while_silent(connection, yield);
        if (consume_fault(this->faults.failed_requests)) {
            (void)connection.send({500, this->response_headers(request), "failed"}, yield);
            return answer_end::sent;
        }
        const std::string last_event_id(find_header(request.headers, "Last-Event-Id"));
        wire::http_headers headers = this->response_headers(request);
        headers.push_back({"Content-Type", "text/event-stream"});
        connection.begin_stream({200, std::move(headers)});
        const int first = last_event_id.empty() ? 1 : std::atoi(last_event_id.c_str()) + 1;
        // Later changes through `/control` apply to new streams only.
        const int last = events_of(request);
        const std::string padding(static_cast<std::size_t>(FLAGS_event_padding), ' ');
        for (int event = first; event <= last; ++event) {
            this->sleep(milliseconds(FLAGS_work_ms), yield);
            if (event == this->faults.silence_before_event)
                this->fall_silent(connection, yield);
            this->wait_while_silent(connection, yield);
            const std::string text = "id: " + std::to_string(event) + "\ndata: token-" +
                                     std::to_string(event) + name_suffix(request) + version_suffix() +
                                     padding;
            if (first == 1 && this->faults.break_stream_after_events >= 0 &&
                event > this->faults.break_stream_after_events) {
                if (--this->faults.breaks <= 0)
                    this->faults.break_stream_after_events = -1;
                (void)connection.append(text);
                this->sleep(milliseconds(5), yield);
                connection.abort();
                return answer_end::broken_off;
            }
            if (first == 1 && event == 2 && this->consume_fault_of_share(this->faults.endless_responses)) {
                this->append_without_end(connection, yield);
                return answer_end::without_end;
            }
            if (!connection.append(text + "\n\n"))
                return answer_end::sent;
        }
        (void)connection.end_stream(yield);
        return answer_end::sent;
    }

    wire::http_response control(const json& body) {
        this->faults.rejected_requests = body.value("refuse", this->faults.rejected_requests);
        this->faults.failed_requests = body.value("fail", this->faults.failed_requests);
        this->faults.lost_responses = body.value("lose_answer", this->faults.lost_responses);
        this->faults.closed_fraction = body.value("closed_fraction", this->faults.closed_fraction);
        this->faults.hung_responses = body.value("hang", this->faults.hung_responses);
        this->faults.duplicate_responses = body.value("surplus", this->faults.duplicate_responses);
        this->faults.unsealed_responses = body.value("unsealed", this->faults.unsealed_responses);
        this->faults.unnamed_refusals = body.value("unnamed_refusals", this->faults.unnamed_refusals);
        this->faults.late_copies = body.value("late_copies", this->faults.late_copies);
        this->faults.break_stream_after_events =
            body.value("break_after", this->faults.break_stream_after_events);
        this->faults.breaks = body.value("breaks", this->faults.breaks);
        this->faults.failed_kv_fetches = body.value("refuse_source", this->faults.failed_kv_fetches);
        this->faults.fatal_body = body.value("fatal_body", this->faults.fatal_body);
        this->faults.exit_delay_ms = body.value("exit_delay_ms", this->faults.exit_delay_ms);
        this->faults.advertised_load = body.value("load", this->faults.advertised_load);
        this->faults.plain_slots = body.value("slots", this->faults.plain_slots);
        this->faults.plain_queue = body.value("queue", this->faults.plain_queue);
        this->faults.advertised_limit = body.value("limit", this->faults.advertised_limit);
        this->faults.retry_after = body.value("rest", this->faults.retry_after);
        this->faults.silences = body.value("silences", this->faults.silences);
        this->faults.silence_ms = body.value("silence_ms", this->faults.silence_ms);
        this->faults.silence_before_event =
            body.value("silence_before_event", this->faults.silence_before_event);
        this->faults.affects_one_in = body.value("affects_one_in", this->faults.affects_one_in);
        if (body.contains("silent_ms"))
            this->faults.silent_until = this->clock.now() + milliseconds(body["silent_ms"].get<int>());
        this->faults.is_leaving = body.value("is_leaving", this->faults.is_leaving);
        this->faults.endless_responses = body.value("endless", this->faults.endless_responses);
        this->faults.endless_text = body.value("endless_text", this->faults.endless_text);
        this->faults.endless_pause_ms = body.value("endless_pause_ms", this->faults.endless_pause_ms);
        this->faults.endless_calls = body.value("endless_calls", this->faults.endless_calls);
        this->faults.endless_foreign_responses =
            body.value("endless_foreign", this->faults.endless_foreign_responses);
        FLAGS_work_ms = body.value("work_ms", FLAGS_work_ms);
        FLAGS_events = body.value("events", FLAGS_events);
        FLAGS_event_padding = body.value("event_padding", FLAGS_event_padding);
        this->max_fencing_token = body.value("highest_token", this->max_fencing_token);
        if (body.value("forget_arrivals", false))
            this->received_requests = json::array();
        return stand_in::json_response({{"arrivals", this->received_requests},
                                        {"orders", this->orders},
                                        {"running", this->running_requests},
                                        {"callers_gone", this->disconnected_callers},
                                        {"handles_freed", this->released_handles},
                                        {"endless_bytes", this->endless_bytes}});
    }

    wire::asio::io_context* context;
    base::system_clock_source clock;
    stand_in::run_log run_log{FLAGS_run_log};
    server_faults faults;
    std::mt19937 random{std::random_device{}()};
    std::map<const wire::caller_connection*, wire::http_response> late_answers; ///< Still to be sent.
    json received_requests = json::array();
    json orders = json::array();
    std::uint64_t max_fencing_token = 0;
    std::set<std::string> handles;
    std::set<std::string> prefix_segments;
    int created_handles = 0;
    int released_handles = 0;
    int running_requests = 0;
    int affectable_runs = 0;    ///< Runs that a fault of a share of them could have struck.
    int executing_requests = 0; ///< Of plain requests, without those that wait.
    int disconnected_callers = 0;
    std::uint64_t endless_bytes = 0; ///< Sent in responses without end.
};

} // namespace

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    wire::asio::io_context context{1};
    platform_server server(context);
    const auto listeners = stand_in::serve_at_each(
        context, {FLAGS_address}, static_cast<std::uint16_t>(FLAGS_port),
        [&server](const wire::http_request& request, wire::caller_connection& connection,
                  wire::yield_context yield) { server.serve(request, connection, yield); },
        [&server](const wire::caller_connection& connection) { server.did_end(connection); });
    stand_in::stop_on_signal(context);
    context.run();
    return 0;
}
