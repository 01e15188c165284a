// SPDX-License-Identifier: BSD-2-Clause
// Stand-in for the platform's list of live and leaving hosts. Updates become visible after a configured
// delay.

#include <common/stand_in_server.h>

#include <gflags/gflags.h>

#include <csignal>
#include <deque>
#include <map>

DEFINE_int32(port, 0, "port on 127.0.0.1; 0 lets the system choose");
DEFINE_int32(lag_ms, 500, "milliseconds that changes take to show");

namespace {

using namespace postpaddle;
using base::boot_clock;
using stand_in::json;

/// Retains the versions of the list that may still be visible within the delay.
class host_list {
public:
    host_list() : current({{"hosts", json::object()}, {"leaving_upstreams", json::array()}}) {
        this->record_version();
    }

    void update(const json& body) {
        if (body.contains("name"))
            this->current["hosts"][body["name"].get<std::string>()] = body;
        if (body.contains("remove"))
            this->current["hosts"].erase(body["remove"].get<std::string>());
        if (body.contains("leaving_upstreams"))
            this->current["leaving_upstreams"] = body["leaving_upstreams"];
        this->record_version();
    }

    [[nodiscard]] json visible_list() {
        const auto visible_until = boot_clock::now() - std::chrono::milliseconds(FLAGS_lag_ms);
        while (this->versions.size() > 1 && this->versions[1].first <= visible_until)
            this->versions.pop_front();
        const json& version = this->versions.front().second;
        json hosts = json::array();
        for (const auto& [name, host] : version["hosts"].items())
            hosts.push_back(host);
        return {{"hosts", hosts}, {"leaving_upstreams", version["leaving_upstreams"]}};
    }

private:
    void record_version() { this->versions.emplace_back(boot_clock::now(), this->current); }

    json current;
    std::deque<std::pair<boot_clock::time_point, json>> versions;
};

} // namespace

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    wire::asio::io_context context{1};
    host_list list;
    const auto listener = stand_in::serve(
        context, static_cast<std::uint16_t>(FLAGS_port),
        [&list](const wire::http_request& request, wire::caller_connection& connection,
                wire::yield_context yield) {
            if (request.method == "POST")
                list.update(stand_in::parse_json_body(request));
            (void)connection.send(
                stand_in::json_response(request.method == "POST" ? json{{"ok", true}} : list.visible_list()),
                yield);
        });
    stand_in::stop_on_signal(context);
    context.run();
    return 0;
}
