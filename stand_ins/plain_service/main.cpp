// SPDX-License-Identifier: BSD-2-Clause
// Stand-in for a plain service: answers every call and counts executions per Idempotency-Key. Faults are
// injected through `/control`.

#include <common/stand_in_server.h>

#include <gflags/gflags.h>

#include <csignal>
#include <cstdlib>
#include <map>

DEFINE_string(name, "plain", "name of the service");
DEFINE_int32(port, 0, "port on 127.0.0.1; 0 lets the system choose");

namespace {

using namespace postpaddle;
using stand_in::json;

/// Faults injected through `/control`. A count is the number of calls still to be affected.
struct plain_faults {
    int response_delay_ms = 0;   ///< Before each response; not a count.
    int lost_responses = 0;      ///< Connection closed after the call was executed.
    int mismatched_ids = 0;      ///< Response with another request's id.
    int malformed_responses = 0; ///< Response with an invalid HTTP header.
    std::string fatal_body;      ///< The process exits when it receives this body.
};

struct plain_service {
    plain_faults faults;
    std::map<std::string, int> runs;
    int calls = 0;
};

bool consume_fault(int& fault) {
    if (fault <= 0)
        return false;
    --fault;
    return true;
}

json counters_json(const plain_service& service) {
    int max_runs = 0;
    for (const auto& [key, count] : service.runs)
        max_runs = std::max(max_runs, count);
    return {{"calls", service.calls}, {"runs", service.runs}, {"most_runs", max_runs}};
}

void handle_call(plain_service& service, wire::asio::io_context& context, const wire::http_request& request,
                 wire::caller_connection& connection, wire::yield_context yield) {
    ++service.calls;
    if (!service.faults.fatal_body.empty() && request.body == service.faults.fatal_body)
        std::_Exit(EXIT_FAILURE);
    const std::string key(wire::find_header(request.headers, "Idempotency-Key"));
    if (!key.empty())
        ++service.runs[key];
    if (service.faults.response_delay_ms > 0) {
        wire::boot_timer timer(context, std::chrono::milliseconds(service.faults.response_delay_ms));
        wire::error_code ignored;
        timer.async_wait(yield[ignored]);
    }
    if (consume_fault(service.faults.lost_responses)) {
        connection.abort();
        return;
    }
    const std::string id(wire::find_header(request.headers, "X-Request-Id"));
    const std::string response_id = consume_fault(service.faults.mismatched_ids) ? "somebody.else.1" : id;
    wire::http_response response = stand_in::json_response({{"service", FLAGS_name},
                                                            {"method", request.method},
                                                            {"path", request.target},
                                                            {"body_bytes", request.body.size()}});
    response.headers.push_back({"X-Request-Id", response_id});
    if (consume_fault(service.faults.malformed_responses))
        response.headers.push_back({"Bad Name\r\n\x01", "x"});
    (void)connection.send(response, yield);
}

} // namespace

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    wire::asio::io_context context{1};
    plain_service service;
    const auto listener = stand_in::serve(
        context, static_cast<std::uint16_t>(FLAGS_port),
        [&](const wire::http_request& request, wire::caller_connection& connection,
            wire::yield_context yield) {
            if (request.target == "/counters") {
                (void)connection.send(stand_in::json_response(counters_json(service)), yield);
            } else if (request.target == "/control") {
                const json body = stand_in::parse_json_body(request);
                service.faults.response_delay_ms = body.value("delay_ms", service.faults.response_delay_ms);
                service.faults.lost_responses = body.value("cut", service.faults.lost_responses);
                service.faults.mismatched_ids = body.value("crossed", service.faults.mismatched_ids);
                service.faults.malformed_responses =
                    body.value("garbage", service.faults.malformed_responses);
                service.faults.fatal_body = body.value("fatal_body", service.faults.fatal_body);
                (void)connection.send(stand_in::json_response({{"ok", true}}), yield);
            } else {
                handle_call(service, context, request, connection, yield);
            }
        });
    stand_in::stop_on_signal(context);
    context.run();
    return 0;
}
