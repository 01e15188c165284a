// SPDX-License-Identifier: BSD-2-Clause
// Upstreams whose answers have neither a length nor chunks and end with their connection. Guards against such
// an answer being taken for broken, and against a stream that ends inside an event being taken for whole.
#include <support/gateway_cluster.h>
#include <support/test_cluster.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <catch2/catch.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

using namespace postpaddle;
using test::routed_request;
namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/// Passes requests on to a server, and its answers back without their framing.
class unframing_proxy {
public:
    explicit unframing_proxy(std::string server)
        : server(std::move(server)), acceptor(context, {asio::ip::address_v4::loopback(), 0}),
          accepting([this](const std::stop_token& stop) { this->accept(stop); }) {}
    ~unframing_proxy() {
        this->accepting.request_stop();
        // Ends the wait for a connection.
        boost::system::error_code ignored;
        asio::ip::tcp::socket last(this->context);
        last.connect(this->acceptor.local_endpoint(), ignored);
    }
    unframing_proxy(const unframing_proxy&) = delete;
    unframing_proxy(unframing_proxy&&) = delete;
    unframing_proxy& operator=(const unframing_proxy&) = delete;
    unframing_proxy& operator=(unframing_proxy&&) = delete;

    [[nodiscard]] std::string address() const {
        return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
    }
    [[nodiscard]] int answered() const { return this->answers; }

    /// Ends the next streams that begin with their first event inside the event after that many.
    void cut_streams(int streams, int after_events) {
        this->events_before_cut = after_events;
        this->streams_to_cut = streams;
    }

private:
    void accept(const std::stop_token& stop) {
        std::vector<std::jthread> connections;
        while (true) {
            auto socket = std::make_shared<asio::ip::tcp::socket>(this->context);
            boost::system::error_code error;
            this->acceptor.accept(*socket, error);
            if (stop.stop_requested())
                return;
            if (!error)
                connections.emplace_back([this, socket] { this->serve(*socket); });
        }
    }

    void serve(asio::ip::tcp::socket& socket) {
        boost::beast::flat_buffer buffer;
        http::request<http::string_body> request;
        boost::system::error_code error;
        http::read(socket, buffer, request, error);
        if (error)
            return;
        wire::http_request passed_on = {
            std::string(request.method_string()), std::string(request.target()), {}, request.body()};
        for (const auto& field : request)
            if (field.name() != http::field::content_length && field.name() != http::field::connection)
                passed_on.headers.push_back({std::string(field.name_string()), std::string(field.value())});
        const auto answer = stand_in::http_exchange(this->server, passed_on);
        if (!answer)
            return;
        std::string text = "HTTP/1.1 " + std::to_string(answer->status) + " Status\r\n";
        for (const auto& [name, value] : answer->headers)
            if (!boost::beast::iequals(name, "Content-Length") &&
                !boost::beast::iequals(name, "Transfer-Encoding") &&
                !boost::beast::iequals(name, "Connection") && !boost::beast::iequals(name, "Keep-Alive"))
                text.append(name).append(": ").append(value).append("\r\n");
        text += "\r\n" + this->cut(answer->body);
        ++this->answers;
        asio::write(socket, asio::buffer(text), error);
        socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
    }

    std::string cut(const std::string& body) {
        if (!body.starts_with("id: 1\n") || this->streams_to_cut <= 0)
            return body;
        --this->streams_to_cut;
        const auto inside_event = body.find("id: " + std::to_string(this->events_before_cut + 1) + "\n") + 3;
        return body.substr(0, inside_event);
    }

    std::string server;
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor;
    std::atomic<int> answers = 0;
    std::atomic<int> streams_to_cut = 0;
    std::atomic<int> events_before_cut = 0;
    std::jthread accepting;
};

/// A cluster whose hosts reach all servers through such proxies only.
struct unframed_cluster {
    explicit unframed_cluster(const test::gateway_cluster_options& options) : cluster(options) {
        nlohmann::json links;
        for (const test::server_plan& plan : options.servers) {
            const std::string address = this->cluster.server_address(plan.id);
            this->proxies[plan.id] = std::make_unique<unframing_proxy>(address);
            for (int host = 1; host <= options.hosts; ++host)
                links[this->cluster.host_ip(host)][address] = this->proxies[plan.id]->address();
        }
        (void)this->cluster.store({{"links", links}});
        for (const test::server_plan& plan : options.servers)
            this->cluster.register_server(plan.id, "ready", 2);
        for (const test::server_plan& plan : options.servers)
            REQUIRE(test::eventually([&] {
                return this->cluster.state_of(1).at("instances").at(plan.id).at("address") ==
                       this->proxies[plan.id]->address();
            }));
    }

    test::gateway_cluster cluster;
    std::map<std::string, std::unique_ptr<unframing_proxy>> proxies;
};

std::vector<test::server_plan> make_engines(int prefill_engines) {
    std::vector<test::server_plan> plans = {{.id = "d1", .service = "engines", .stage = "decode"},
                                            {.id = "d2", .service = "engines", .stage = "decode"}};
    for (int engine = 1; engine <= prefill_engines; ++engine)
        plans.push_back({.id = "p" + std::to_string(engine), .service = "engines", .stage = "prefill"});
    return plans;
}

int count_events(const std::string& body) {
    int events = 0;
    for (auto at = body.find("data: token-"); at != std::string::npos; at = body.find("data: token-", at + 1))
        ++events;
    return events;
}

/// The next line of that kind that the host logs.
nlohmann::json next_logged(stand_in::child_process& host, const std::string& event) {
    for (std::string line = host.read_line(); !line.empty(); line = host.read_line()) {
        auto parsed = nlohmann::json::parse(line, nullptr, false);
        if (parsed.is_object() && parsed.value("event", "") == event)
            return parsed;
    }
    return nlohmann::json::object();
}

} // namespace

TEST_CASE("answers without length or chunks are whole when their connection ends") {
    SECTION("of plain upstreams") {
        unframed_cluster unframed({.name = "unframed-plain", .servers = {{.id = "one"}}});
        for (int number = 0; number < 5; ++number)
            for (const auto* path : {"/once/", "/again/"}) {
                const auto answer =
                    stand_in::http_exchange(unframed.cluster.callers_address(),
                                            routed_request(path, "plain-" + std::to_string(number) + path));
                REQUIRE(answer);
                CHECK(answer->status == 200);
            }
        CHECK(unframed.cluster.runs() == 10);
    }
    SECTION("of prefill engines and of decode engines, whose streams end so") {
        unframed_cluster unframed({.name = "unframed-stream", .servers = make_engines(1)});
        for (int number = 0; number < 5; ++number)
            for (const auto* path : {"/stream/", "/resume/"}) {
                const auto answer =
                    stand_in::http_exchange(unframed.cluster.callers_address(),
                                            routed_request(path, "stream-" + std::to_string(number) + path));
                REQUIRE(answer);
                CHECK(answer->status == 200);
                CHECK(count_events(answer->body) == 5);
            }
        CHECK(unframed.proxies["p1"]->answered() >= 10);
        CHECK(unframed.cluster.arrivals("d1") + unframed.cluster.arrivals("d2") == 10);
    }
    SECTION("of engines that are ordered to change their stage") {
        unframed_cluster unframed({.name = "unframed-order", .servers = make_engines(4)});
        for (const auto* id : {"d1", "d2"})
            (void)unframed.cluster.server(id, {{"work_ms", 100}});
        for (int number = 0; number < 12; ++number)
            CHECK(status_at(unframed.cluster, 1, "/stream/") == 200);
        const auto orders = [&unframed] {
            auto given = nlohmann::json::array();
            for (int engine = 1; engine <= 4; ++engine) {
                const std::string id = "p" + std::to_string(engine);
                const nlohmann::json counters = unframed.cluster.server(id);
                for (const auto& order : counters.at("orders"))
                    given.push_back({{"engine", id}, {"order", order}});
            }
            return given;
        };
        REQUIRE(test::eventually([&] { return !orders().empty(); }));
        // An order that counts as unanswered may be given again.
        std::this_thread::sleep_for(std::chrono::seconds(2));
        const auto given = orders();
        INFO(given.dump());
        std::set<std::string> engines;
        for (const auto& order : given) {
            CHECK(engines.insert(order.at("engine").get<std::string>()).second);
            CHECK(next_logged(unframed.cluster.host(1), "stage_order").at("answer") == "taken");
        }
    }
}

TEST_CASE("a stream without chunks that ends inside an event has been broken off") {
    unframed_cluster unframed({.name = "unframed-broken", .servers = make_engines(1)});
    SECTION("and goes on elsewhere if it can be resumed") {
        for (const auto* id : {"d1", "d2"})
            unframed.proxies[id]->cut_streams(2, 3);
        for (int number = 0; number < 4; ++number) {
            const auto answer =
                stand_in::http_exchange(unframed.cluster.callers_address(),
                                        routed_request("/resume/", "broken-" + std::to_string(number)));
            REQUIRE(answer);
            CHECK(answer->status == 200);
            CHECK(count_events(answer->body) == 5);
        }
    }
    SECTION("and is not ended as if it were whole if it can't") {
        for (const auto* id : {"d1", "d2"})
            unframed.proxies[id]->cut_streams(10, 3);
        for (int number = 0; number < 4; ++number)
            CHECK_FALSE(
                stand_in::http_exchange(unframed.cluster.callers_address(),
                                        routed_request("/stream/", "broken-" + std::to_string(number))));
    }
}
