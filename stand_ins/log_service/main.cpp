// SPDX-License-Identifier: BSD-2-Clause
// Stand-in for the platform's log: append-only streams with offsets, retention and a limited append rate.
// Faults are injected through `/control`.

#include <common/stand_in_server.h>
#include <log_service/log_stream.h>

#include <gflags/gflags.h>

#include <csignal>
#include <cstdlib>
#include <map>

DEFINE_int32(port, 0, "port on 127.0.0.1; 0 lets the system choose");
DEFINE_int32(retention_ms, 24 * 3600 * 1000, "milliseconds that a record is kept");
DEFINE_int32(most_records, 1'000'000, "records kept in a stream");
DEFINE_double(appends_per_second, 300, "appends taken a second");

namespace {

using namespace postpaddle;
using stand_in::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Faults injected through `/control`. A count is the number of appends still to be affected.
struct log_faults {
    bool is_down = false;
    int response_delay_ms = 0; ///< Before each response; not a count.
    int lost_responses = 0;    ///< Appends that take effect but are not answered.
    int dropped_appends = 0;   ///< Appends that neither take effect nor are answered.
};

class log_service {
public:
    explicit log_service(wire::asio::io_context& context) : context(&context), append_signal(context) {
        this->append_signal.expires_at(steady_clock::time_point::max());
    }

    void serve(const wire::http_request& request, wire::caller_connection& connection,
               wire::yield_context yield) {
        if (request.target == "/control") {
            (void)connection.send(this->set_faults(stand_in::parse_json_body(request)), yield);
            return;
        }
        if (request.target == "/counters") {
            (void)connection.send(stand_in::json_response(this->counters()), yield);
            return;
        }
        if (!stand_in::is_uri_target(request.target)) {
            (void)connection.send(stand_in::json_response({{"error", "no URI"}}, 400), yield);
            return;
        }
        if (this->faults.is_down) {
            (void)connection.send(stand_in::json_response({{"error", "down"}}, 503), yield);
            return;
        }
        if (this->faults.response_delay_ms > 0)
            this->sleep(milliseconds(this->faults.response_delay_ms), yield);
        if (request.method == "POST")
            this->append(request, connection, yield);
        else
            this->read(request, connection, yield);
    }

private:
    static std::string stream_name(const std::string& target) {
        const std::string prefix = "/streams/";
        return target.substr(prefix.size(), target.find('/', prefix.size()) - prefix.size());
    }

    void sleep(milliseconds delay, wire::yield_context yield) {
        wire::error_code ignored;
        wire::asio::steady_timer timer(*this->context, delay);
        timer.async_wait(yield[ignored]);
    }

    void append(const wire::http_request& request, wire::caller_connection& connection,
                wire::yield_context yield) {
        if (!this->try_take_append_token()) {
            (void)connection.send(stand_in::json_response({{"error", "too many appends"}}, 429), yield);
            return;
        }
        if (this->faults.dropped_appends > 0) {
            --this->faults.dropped_appends;
            connection.abort();
            return;
        }
        ++this->append_count;
        stand_in::log_stream& stream = this->streams[stream_name(request.target)];
        const auto offset = stream.append(stand_in::parse_json_body(request).value("payload", ""));
        this->append_signal.cancel();
        if (this->faults.lost_responses > 0) {
            --this->faults.lost_responses;
            connection.abort();
            return;
        }
        (void)connection.send(stand_in::json_response({{"offset", offset}}), yield);
    }

    void read(const wire::http_request& request, wire::caller_connection& connection,
              wire::yield_context yield) {
        const auto field = [&](const char* name) {
            return std::strtoull(stand_in::query_parameter(request.target, name).c_str(), nullptr, 10);
        };
        stand_in::log_stream& stream = this->streams[stream_name(request.target)];
        const auto deadline = steady_clock::now() + milliseconds(field("wait_ms"));
        stream.trim(milliseconds(FLAGS_retention_ms), static_cast<std::size_t>(FLAGS_most_records));
        while (field("from") >= stream.next_offset() && steady_clock::now() < deadline &&
               !this->faults.is_down)
            this->wait_for_append(deadline, yield);
        if (this->faults.is_down) {
            (void)connection.send(stand_in::json_response({{"error", "down"}}, 503), yield);
            return;
        }
        json records = json::array();
        for (auto offset = std::max<std::uint64_t>(field("from"), stream.earliest_offset());
             offset < stream.next_offset() && records.size() < field("max"); ++offset)
            records.push_back({{"offset", offset}, {"payload", stream.at(offset)}});
        (void)connection.send(stand_in::json_response({{"earliest", stream.earliest_offset()},
                                                       {"next", stream.next_offset()},
                                                       {"records", records}}),
                              yield);
    }

    void wait_for_append(steady_clock::time_point deadline, wire::yield_context yield) {
        wire::error_code ignored;
        wire::asio::steady_timer timer(*this->context);
        // Polls, because a timer shared by all readers could not carry each reader's deadline.
        timer.expires_at(std::min(deadline, steady_clock::now() + milliseconds(10)));
        timer.async_wait(yield[ignored]);
    }

    bool try_take_append_token() {
        const auto now = steady_clock::now();
        const double seconds = std::chrono::duration<double>(now - this->last_refill).count();
        this->last_refill = now;
        this->append_tokens =
            std::min(FLAGS_appends_per_second, this->append_tokens + seconds * FLAGS_appends_per_second);
        if (this->append_tokens < 1)
            return false;
        this->append_tokens -= 1;
        return true;
    }

    wire::http_response set_faults(const json& body) {
        this->faults.is_down = body.value("down", this->faults.is_down);
        this->faults.response_delay_ms = body.value("slow_ms", this->faults.response_delay_ms);
        this->faults.lost_responses = body.value("lose_answers", this->faults.lost_responses);
        this->faults.dropped_appends = body.value("drop_appends", this->faults.dropped_appends);
        if (body.contains("retention_ms"))
            FLAGS_retention_ms = body["retention_ms"].get<int>();
        if (body.contains("most_records"))
            FLAGS_most_records = body["most_records"].get<int>();
        return stand_in::json_response({{"ok", true}});
    }

    [[nodiscard]] json counters() const {
        json streams_json = json::object();
        for (const auto& [name, stream] : this->streams)
            streams_json[name] = {{"earliest", stream.earliest_offset()}, {"next", stream.next_offset()}};
        return {{"appends", this->append_count}, {"streams", streams_json}};
    }

    wire::asio::io_context* context;
    wire::asio::steady_timer append_signal;
    std::map<std::string, stand_in::log_stream> streams;
    log_faults faults;
    std::uint64_t append_count = 0;
    double append_tokens = 10;
    steady_clock::time_point last_refill = steady_clock::now();
};

} // namespace

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    wire::asio::io_context context{1};
    log_service service(context);
    const auto listener =
        stand_in::serve(context, static_cast<std::uint16_t>(FLAGS_port),
                        [&service](const wire::http_request& request, wire::caller_connection& connection,
                                   wire::yield_context yield) { service.serve(request, connection, yield); });
    stand_in::stop_on_signal(context);
    context.run();
    return 0;
}
