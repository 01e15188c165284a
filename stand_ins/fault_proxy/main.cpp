// SPDX-License-Identifier: BSD-2-Clause
// TCP proxy that injects network faults. `/links` adds a link with its own port to a target; `/faults`
// replaces the faults of a link, or of several at once.

#include <common/stand_in_server.h>
#include <fault_proxy/proxy_link.h>

#include <gflags/gflags.h>

#include <csignal>
#include <map>
#include <string>
#include <vector>

DEFINE_int32(port, 0, "control port on 127.0.0.1; 0 lets the system choose");

namespace {

using namespace postpaddle;
using stand_in::json;

stand_in::link_faults parse_faults(const json& body) {
    stand_in::link_faults faults;
    faults.is_disconnected = body.value("cut", false);
    faults.refuses_new = body.value("refuse_new", false);
    faults.hangs_new = body.value("hang_new", false);
    faults.is_stalled = body.value("freeze", false);
    faults.is_response_stalled = body.value("freeze_answers", false);
    faults.delay_ms = body.value("delay_ms", 0);
    faults.max_response_bytes = body.value("cut_after", std::int64_t{-1});
    faults.response_bytes_per_second = body.value("bytes_per_s", std::int64_t{0});
    return faults;
}

} // namespace

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    wire::asio::io_context context{1};
    std::map<std::string, std::shared_ptr<stand_in::proxy_link>> links;
    const auto listener = stand_in::serve(
        context, static_cast<std::uint16_t>(FLAGS_port),
        [&](const wire::http_request& request, wire::caller_connection& connection,
            wire::yield_context yield) {
            const json body = stand_in::parse_json_body(request);
            const std::string name = body.value("link", "");
            if (request.target == "/links") {
                auto link = std::make_shared<stand_in::proxy_link>(context, body.value("target", ""));
                link->start();
                links[name] = link;
            } else if (request.target == "/faults") {
                for (const std::string& each : body.value("links", std::vector<std::string>{name}))
                    if (links.contains(each))
                        links[each]->set_faults(parse_faults(body));
            }
            const bool is_known = links.contains(name);
            const json answer = is_known ? json{{"port", links[name]->port()},
                                                {"connections", links[name]->accepted_connections()},
                                                {"answered_bytes", links[name]->response_bytes()}}
                                         : json{{"error", "no such link"}};
            (void)connection.send(stand_in::json_response(answer, is_known ? 200 : 404), yield);
        });
    stand_in::stop_on_signal(context);
    context.run();
    return 0;
}
