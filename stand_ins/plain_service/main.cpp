// SPDX-License-Identifier: BSD-2-Clause
// Stand-in for a plain service: answers every call, counts runs by Idempotency-Key, with faults on request.

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

struct plain_faults {
    int delay_ms = 0;       ///< Before each answer.
    int cut = 0;            ///< Coming answers that are cut after the work was done.
    int crossed = 0;        ///< Coming answers that name another request.
    int garbage = 0;        ///< Coming answers that are not HTTP.
    std::string fatal_body; ///< The process ends under a call with this body.
};

struct plain_service {
    plain_faults faults;
    std::map<std::string, int> runs;
    int calls = 0;
};

bool take_one(int& fault) {
    if (fault <= 0)
        return false;
    --fault;
    return true;
}

json counters_of(const plain_service& service) {
    int most_runs = 0;
    for (const auto& [key, count] : service.runs)
        most_runs = std::max(most_runs, count);
    return {{"calls", service.calls}, {"runs", service.runs}, {"most_runs", most_runs}};
}

void run_call(plain_service& service, wire::asio::io_context& context, const wire::http_request& request,
              wire::caller_connection& connection, wire::yield_context yield) {
    ++service.calls;
    if (!service.faults.fatal_body.empty() && request.body == service.faults.fatal_body)
        std::_Exit(EXIT_FAILURE);
    const std::string key(wire::find_header(request.headers, "Idempotency-Key"));
    if (!key.empty())
        ++service.runs[key];
    if (service.faults.delay_ms > 0) {
        wire::boot_timer timer(context, std::chrono::milliseconds(service.faults.delay_ms));
        wire::error_code ignored;
        timer.async_wait(yield[ignored]);
    }
    if (take_one(service.faults.cut)) {
        connection.abort();
        return;
    }
    const std::string id(wire::find_header(request.headers, "X-Request-Id"));
    const std::string said_id = take_one(service.faults.crossed) ? "somebody.else.1" : id;
    wire::http_response response = stand_in::json_response({{"service", FLAGS_name},
                                                            {"method", request.method},
                                                            {"path", request.target},
                                                            {"body_bytes", request.body.size()}});
    response.headers.push_back({"X-Request-Id", said_id});
    if (take_one(service.faults.garbage))
        response.headers.push_back({"Bad Name\r\n\x01", "x"});
    (void)connection.send(response, yield);
}

} // namespace

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    wire::asio::io_context context{1};
    plain_service service;
    const auto listener =
        stand_in::serve(context, static_cast<std::uint16_t>(FLAGS_port),
                        [&](const wire::http_request& request, wire::caller_connection& connection,
                            wire::yield_context yield) {
                            if (request.target == "/counters") {
                                (void)connection.send(stand_in::json_response(counters_of(service)), yield);
                            } else if (request.target == "/control") {
                                const json body = stand_in::json_body(request);
                                service.faults.delay_ms = body.value("delay_ms", service.faults.delay_ms);
                                service.faults.cut = body.value("cut", service.faults.cut);
                                service.faults.crossed = body.value("crossed", service.faults.crossed);
                                service.faults.garbage = body.value("garbage", service.faults.garbage);
                                service.faults.fatal_body =
                                    body.value("fatal_body", service.faults.fatal_body);
                                (void)connection.send(stand_in::json_response({{"ok", true}}), yield);
                            } else {
                                run_call(service, context, request, connection, yield);
                            }
                        });
    stand_in::stop_on_signal(context);
    context.run();
    return 0;
}
