// SPDX-License-Identifier: BSD-2-Clause
#include <platform/header_names.h>
#include <platform/record_codec.h>
#include <platform/registry_codec.h>
#include <platform/request_codec.h>
#include <platform/routing_codec.h>

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

#include <limits>
#include <random>

using namespace postpaddle;
using namespace std::string_literals;

TEST_CASE("record pages are decoded and records encoded in the store's binary format") {
    // End offset (8 bytes), first offset (8 bytes); then per record: length, key length, key, value.
    const std::string bytes = "\0\0\0\0\0\0\0\x07"
                              "\0\0\0\0\0\0\0\x02"
                              "\0\0\0\x06"
                              "\x03"
                              "keyva"
                              "\0\0\0\x04"
                              "\x03"
                              "old"s;
    const auto page = platform::decode_page(bytes, 5);
    REQUIRE(page);
    CHECK(page->end == 7);
    CHECK(page->first_offset == 2);
    REQUIRE(page->records.size() == 2);
    CHECK(page->records[0] == platform::keyed_record{"key", "va", 5});
    CHECK(page->records[1] == platform::keyed_record{"old", std::nullopt, 6});
    CHECK_FALSE(platform::decode_page(bytes.substr(0, bytes.size() - 1), 5));
    CHECK(platform::encode_record({"key", "va", 0}) == bytes.substr(16, 10));
}

TEST_CASE("base64 is decoded and malformed base64 rejected") {
    CHECK(platform::decode_base64("aGVsbG8=") == "hello");
    CHECK(platform::decode_base64("aGVsbA==") == "hell");
    CHECK(platform::decode_base64("aGVsbG8h") == "hello!");
    CHECK(platform::decode_base64("") == "");
    CHECK_FALSE(platform::decode_base64("aGVsb"));
    CHECK_FALSE(platform::decode_base64("a*b"));
}

TEST_CASE("a server's registry entry is decoded and invalid entries are rejected") {
    const auto entry = platform::decode_upstream_entry(
        "i-1",
        R"({"service":"s","address":"10.0.0.9:80","zone":"z","version":"v1","slots":128,)"
        R"("state":"draining","coldRemainingMs":0,"stage":"decode","sequence":4,"born":1764000000123})");
    REQUIRE(entry);
    CHECK(entry->id.value == "i-1");
    CHECK(entry->is_leaving);
    CHECK(entry->stage == settings::engine_stage::decode);
    CHECK(entry->sequence == 4);
    CHECK(entry->start_time_ms == 1'764'000'000'123);
    CHECK(entry->software_version == "v1");
    CHECK_FALSE(platform::decode_upstream_entry("i-1", R"({"service":7})"));
    CHECK_FALSE(platform::decode_upstream_entry("i-1", "no json"));
}

TEST_CASE("all sections of a configuration are parsed") {
    const auto document = platform::read_configuration(
        R"({"version":7,"routes":[{"name":"r","host":"A.example","pathPrefix":"/p/","kind":"streaming",)"
        R"("timeoutMs":14000,"targetLatencyMs":900,"priority":1,"trafficSplit":[{"service":"s","weight":90},)"
        R"({"service":"t","weight":10}],"maxAttempts":2,"resumable":true,"gapTargetMs":300}],)"
        R"("services":[{"name":"s","maxConnections":620,"engine":{"slots":128,"kvCapacityTokens":66897,)"
        R"("kvTtlS":0.5,"stride":11}}],"limits":{"maxHeaderBytes":100,"idleTimeoutMs":15000}})");
    REQUIRE(document);
    const auto& route = document->value->routes.front();
    CHECK(document->value->version == 7);
    CHECK(route.host == "a.example");
    CHECK(route.kind == settings::route_kind::stream);
    CHECK(route.is_resumable);
    CHECK(route.services.size() == 2);
    const auto& engine = document->value->services.at("s").engine;
    REQUIRE(engine);
    CHECK(engine->kv_tokens == 66'897);
    CHECK(engine->kv_retention == std::chrono::milliseconds(500));
    CHECK(document->value->limits.header_bytes == 100);
    CHECK(route.allowed_regions.empty());
    CHECK(document->value->services.at("s").cold_requests_per_second == 0);
    CHECK(platform::read_configuration("{}").error().failure == ports::feed_failure::malformed);
}

TEST_CASE("allowed regions and cold start settings are parsed, and cold start values out of range clamped") {
    const auto read = [](const std::string& cold) {
        return platform::read_configuration(
            R"({"version":7,"routes":[{"name":"r","host":"a.example","pathPrefix":"/p/","kind":"idempotent",)"
            R"("service":"s","allowedRegions":["north","south"]}],"services":[{"name":"s",)" +
            cold + R"(}],"tenants":[{"name":"one","apiKeys":[],"allowedRegions":["north"]}]})");
    };
    const auto document = read(R"("coldStartS":3.0,"coldPerS":16.0)");
    REQUIRE(document);
    const auto& value = *document->value;
    CHECK(value.routes.front().allowed_regions == std::set<base::region_id>{{"north"}, {"south"}});
    CHECK(value.organisations.at({"one"}).allowed_regions == std::set<base::region_id>{{"north"}});
    CHECK(value.services.at("s").cold_start == std::chrono::seconds(3));
    CHECK(value.services.at("s").cold_requests_per_second == 16);
    const auto out_of_range = read(R"("coldStartS":1e300,"coldPerS":-4)");
    REQUIRE(out_of_range);
    CHECK(out_of_range->value->services.at("s").cold_start == std::chrono::seconds(600));
    CHECK(out_of_range->value->services.at("s").cold_requests_per_second == 0);
}

TEST_CASE("reserved headers are stripped from a caller's request and set only by the router") {
    const auto protocol = platform::make_request_protocol();
    auto request = protocol.read_request({"POST",
                                          "/p/1",
                                          {{"Host", "a.example"},
                                           {"X-Attempt-Id", "abc"},
                                           {"x-expect-instance", "forged"},
                                           {"X-STAGE", "prefill"},
                                           {"X-Cache-Source", "10.0.0.1:1/x"},
                                           {"X-Deadline-Ms", "900"},
                                           {"X-Token-Usage", "1460,80"},
                                           {"X-Custom", "kept"}},
                                          "body"});
    REQUIRE(request);
    CHECK(request->id == "abc");
    CHECK(request->prompt_tokens == 1'460);
    CHECK(request->output_tokens == 80);
    const auto sent = protocol.make_upstream_request(
        *request, {.instance = {"i-1"}, .time_left = std::chrono::milliseconds(400)});
    CHECK(wire::find_header(sent.headers, platform::header_names::expected_instance) == "i-1");
    CHECK(wire::find_header(sent.headers, platform::header_names::time_left) == "400");
    CHECK(wire::find_header(sent.headers, platform::header_names::stage).empty());
    CHECK(wire::find_header(sent.headers, platform::header_names::cache_source).empty());
    CHECK(wire::find_header(sent.headers, "X-Custom") == "kept");
    CHECK(sent.body == "body");
}

TEST_CASE("the shared parts of a prompt are all but the last, once each, and bounded") {
    const auto protocol = platform::make_request_protocol();
    const auto parts_of = [&protocol](const std::string& segments) {
        return protocol
            .read_request({"POST",
                           "/p/1",
                           {{"Host", "a.example"}, {"X-Attempt-Id", "abc"}, {"X-Prompt-Prefix", segments}},
                           ""})
            ->shared_parts;
    };
    CHECK(parts_of("5c1e:800,91bd:410,e440:250") == std::vector<std::string>{"5c1e", "91bd"});
    CHECK(parts_of("5c1e:800,5c1e:1,,e440,x") == std::vector<std::string>{"5c1e", "e440"});
    CHECK(parts_of("5c1e:800").empty());
    CHECK(parts_of("").empty());
    std::string many;
    for (int part = 0; part < 1'000; ++part)
        many += std::to_string(part) + std::string(100, 'x') + ":1,";
    CHECK(parts_of(many).size() == 16);
}

TEST_CASE("the attempt that a caller resumes is read and passed on, and an oversized id ignored") {
    const auto protocol = platform::make_request_protocol();
    const auto read = [&protocol](const std::string& resumes) {
        return protocol.read_request(
            {"POST", "/p/1", {{"Host", "a.example"}, {"X-Attempt-Id", "abc"}, {"Resumes", resumes}}, ""});
    };
    const auto request = read("first-attempt");
    REQUIRE(request);
    CHECK(request->resumes == "first-attempt");
    const auto sent = protocol.make_upstream_request(*request, {.instance = {"i-1"}});
    CHECK(wire::find_header(sent.headers, platform::header_names::resumes) == "first-attempt");
    CHECK(read("")->resumes.empty());
    CHECK(read(std::string(10'000, 'x'))->resumes.empty());
}

TEST_CASE("the prompt key is the id of the last segment, and an engine's list of held prompts is parsed") {
    const auto protocol = platform::make_request_protocol();
    wire::http_request request{"POST", "/p/x", {{"X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410"}}, ""};
    CHECK(protocol.read_request(request)->prompt_key == "91bd3f06");
    request.headers = {{"X-Prompt-Prefix", "5c1e07a2:800"}};
    CHECK(protocol.read_request(request)->prompt_key == "5c1e07a2");
    request.headers.clear();
    CHECK(protocol.read_request(request)->prompt_key.empty());
    const auto held = protocol.read_held_prompts(
        R"({"epoch":3,"nextPageToken":9,"held":[["","5c1e07a2",800,"m"],["","91bd3f06",410,"m"]]})");
    REQUIRE(held);
    CHECK(*held == std::set<std::string>{"5c1e07a2", "91bd3f06"});
    CHECK_FALSE(protocol.read_held_prompts(R"({"held":[[]]})"));
    CHECK_FALSE(protocol.read_held_prompts("no json"));
}

TEST_CASE("a request counts as not executed only if the upstream says so, and advertised loads are bounded") {
    const auto protocol = platform::make_request_protocol();
    CHECK_FALSE(protocol.read_answer({503, {}}).is_not_executed);
    CHECK(protocol.read_answer({503, {{"X-Not-Executed", "1"}}}).is_not_executed);
    CHECK(protocol.read_answer({421, {}}).is_other_instance);
    CHECK_FALSE(
        protocol.read_answer({200, {{"X-Response-Seal", "s"}, {"Content-Encoding", "gzip"}}}).is_sealed);
    const auto load = protocol.read_answer({200, {{"X-Server-Load", "3,0,8"}}}).load;
    CHECK(load == decision::instance_load{3, 0, 8});
    const auto load_of = [&](const std::string& text) {
        return protocol.read_answer({200, {{"X-Server-Load", text}}}).load;
    };
    CHECK(load_of("3,0,8,250") == decision::instance_load{3, 0, 8, 250, true});
    CHECK(load_of("3,0,8,0") == decision::instance_load{3, 0, 8, 1, true});
    for (const std::string& text : {std::string("3,0"), std::string("3,0,8,100,1"), std::string("3,-1,8"),
                                    std::string("3,0,many"), "3,0," + std::string(1'000, '8')})
        CHECK_FALSE(load_of(text));
    const auto cold_remaining_of = [&](const std::string& text) {
        return protocol.read_answer({200, {{"X-Cold-Ms", text}}}).cold_remaining;
    };
    CHECK(cold_remaining_of("1500") == std::chrono::milliseconds(1'500));
    CHECK(cold_remaining_of("999999999999") == std::chrono::milliseconds(600'000));
    for (const std::string& text :
         {std::string(), std::string("-5"), std::string("soon"), std::string(1'000, '9')})
        CHECK_FALSE(cold_remaining_of(text));
}

// Guards against a head that was cut, with the head and the body of another answer behind it, being taken for
// the answer that it begins.
TEST_CASE("an answer that names its request or has its seal twice is neither the request's nor sealed") {
    const auto protocol = platform::make_request_protocol();
    const auto joined = protocol.read_answer({200,
                                              {{"X-Attempt-Id", "id-1"},
                                               {"X-Response-Seal", "seal.i-1.idHTTP/1.1 200 OK"},
                                               {"X-Attempt-Id", "id-2"},
                                               {"X-Response-Seal", "seal.i-1.id-2"}}});
    CHECK(joined.request_id.empty());
    CHECK_FALSE(joined.is_sealed);
    const auto whole =
        protocol.read_answer({200, {{"X-Attempt-Id", "id-1"}, {"X-Response-Seal", "seal.i-1.id-1"}}});
    CHECK(whole.request_id == "id-1");
    CHECK(whole.is_sealed);
}

TEST_CASE("advertised limit, back-off and shutdown are parsed within bounds, and malformed values ignored") {
    const auto protocol = platform::make_request_protocol();
    const auto limit_of = [&](const wire::http_headers& headers) {
        return protocol.read_answer({200, headers}).limit;
    };
    CHECK(limit_of({{"Server-Limit", "2.5"}}) == 2.5);
    CHECK(limit_of({{"server-limit", "0"}}) == 0.0);
    CHECK(limit_of({{"Server-Limit", "6"}, {"Server-Limit", "2"}}) == 2.0);
    CHECK(limit_of({{"Server-Limit", "many"}, {"Server-Limit", "2"}}) == 2.0);
    CHECK_FALSE(limit_of({}));
    const auto backoff_of = [&](int status, const std::string& text) {
        return protocol.read_answer({status, {{"Retry-After", text}}}).backoff;
    };
    CHECK(backoff_of(503, "3") == std::chrono::milliseconds(3'000));
    CHECK(backoff_of(503, "0.25") == std::chrono::milliseconds(250));
    CHECK(backoff_of(503, "31536000") == std::chrono::milliseconds(3'600'000));
    CHECK_FALSE(backoff_of(200, "3"));
    CHECK_FALSE(backoff_of(429, "3"));
    for (const std::string& text :
         {std::string(), std::string("-5"), std::string("soon"), std::string("inf"), std::string("nan"),
          std::string("1e999"), std::string("2,5"), std::string(1'000, '9')}) {
        INFO(text);
        CHECK_FALSE(limit_of({{"Server-Limit", text}}));
        CHECK_FALSE(backoff_of(503, text));
        CHECK(protocol.read_answer({503, {{"Retry-After", text}}}).has_malformed_state);
    }
    CHECK(protocol.read_answer({200, {{"Server-Leaving", "1"}}}).is_leaving);
    CHECK_FALSE(protocol.read_answer({200, {{"Server-Leaving", "0"}}}).is_leaving);
    CHECK_FALSE(protocol.read_answer({200, {}}).has_malformed_state);
}

TEST_CASE("a registry entry with a missing, mistyped or invalid field is rejected") {
    const nlohmann::json good = {
        {"service", "s"}, {"address", "10.0.0.9:80"}, {"zone", "z"},          {"version", "v1"},
        {"slots", 6},     {"state", "ready"},         {"coldRemainingMs", 0}, {"sequence", 4}};
    REQUIRE(platform::decode_upstream_entry("i-1", good.dump()));
    for (const auto& [name, value] : good.items()) {
        auto entry = good;
        entry.erase(name);
        INFO(name);
        CHECK_FALSE(platform::decode_upstream_entry("i-1", entry.dump()));
        for (const nlohmann::json& other :
             {nlohmann::json(nullptr), nlohmann::json(true), nlohmann::json::array({1}),
              nlohmann::json::object(), nlohmann::json("")}) {
            entry[name] = other;
            CHECK_FALSE(platform::decode_upstream_entry("i-1", entry.dump()));
        }
        entry[name] = value.is_string() ? nlohmann::json(7) : nlohmann::json("7");
        CHECK_FALSE(platform::decode_upstream_entry("i-1", entry.dump()));
    }
    const auto with = [&good](const char* name, const nlohmann::json& value) {
        auto entry = good;
        entry[name] = value;
        return platform::decode_upstream_entry("i-1", entry.dump()).has_value();
    };
    CHECK(with("stage", "prefill"));
    CHECK_FALSE(with("stage", "middle"));
    CHECK_FALSE(with("stage", 3));
    CHECK_FALSE(with("state", "resting"));
    CHECK_FALSE(with("address", "server.example:80"));
    CHECK_FALSE(with("address", "10.0.0.9"));
    CHECK_FALSE(with("slots", -1));
    CHECK_FALSE(with("slots", 2.5));
    CHECK_FALSE(with("slots", 5'000'000'000));
    CHECK_FALSE(with("sequence", -4));
    CHECK_FALSE(with("born", "yesterday"));
    CHECK_FALSE(with("born", -1));
    CHECK_FALSE(with("born", 1.5));
    CHECK_FALSE(platform::decode_upstream_entry("", good.dump()));
    CHECK_FALSE(platform::decode_upstream_entry("i\xff", good.dump()));
    CHECK_FALSE(platform::decode_upstream_entry("i-1", "\xff\xfe"));
}

TEST_CASE("a record with a malformed body does not affect the records after it") {
    // A record of 4 bytes that declares a key of 9 bytes, followed by a valid record.
    const std::string bytes = "\0\0\0\0\0\0\0\x02"
                              "\0\0\0\0\0\0\0\0"
                              "\0\0\0\x04"
                              "\x09"
                              "abc"
                              "\0\0\0\x06"
                              "\x03"
                              "keyva"s;
    const auto page = platform::decode_page(bytes, 0);
    REQUIRE(page);
    REQUIRE(page->records.size() == 2);
    CHECK(page->records[0].key.empty());
    CHECK(page->records[1] == platform::keyed_record{"key", "va", 1});
}

TEST_CASE("organisations are parsed with hashed API keys and usage limits") {
    const auto read = [](const std::string& organisations) {
        return platform::read_configuration(
            R"({"version":7,"routes":[{"name":"r","host":"a.example","pathPrefix":"/p/","kind":"idempotent",)"
            R"("service":"s","public":true}],"services":[],"tenants":)" +
            organisations + "}");
    };
    const auto document = read(R"([{"name":"one","apiKeys":["k1","k2"],"priority":1,"unit":"token_stream",)"
                               R"("plainTokens":200,"ratePerS":310031,"burst":62000},)"
                               R"({"name":"two","apiKeys":[]}])");
    REQUIRE(document);
    const auto& value = *document->value;
    CHECK(value.requires_keys);
    CHECK(value.routes.front().is_public);
    CHECK(settings::organisation_of(value.keys, settings::hash_of_key("k2"))->value == "one");
    CHECK(settings::organisation_of(value.keys, settings::hash_of_key("k3")) == nullptr);
    CHECK(value.organisations.at({"one"}).limit == settings::usage_limit{.per_second = 310'031,
                                                                         .burst = 62'000,
                                                                         .unit = settings::usage_unit::tokens,
                                                                         .default_tokens = 200});
    CHECK(value.organisations.at({"two"}).limit.per_second == 0);
    CHECK(read("[]")->value->requires_keys);
    CHECK_FALSE(read(R"([{"apiKeys":["k1"]}])"));
    CHECK_FALSE(read(R"([{"name":"one","apiKeys":["k1"],"ratePerS":-1}])"));
    CHECK_FALSE(read(R"([{"name":"one","apiKeys":["k1"],"ratePerS":"many"}])"));
    CHECK_FALSE(read(R"([{"name":"one","apiKeys":["k1"],"unit":"bytes"}])"));
    CHECK_FALSE(read(R"([{"name":"one","apiKeys":["k1"]},{"name":"one","apiKeys":["k2"]}])"));
    CHECK_FALSE(read(R"([{"name":"one"}])"));
}

TEST_CASE("missing, negative and huge priorities are read within the range of ranks") {
    const auto priority_of = [](const std::string& field) {
        const auto document = platform::read_configuration(
            R"({"version":7,"routes":[{"name":"r","host":"a.example","pathPrefix":"/p/","kind":"idempotent",)"
            R"("service":"s"}],"services":[],"tenants":[{"name":"one","apiKeys":[])" +
            field + "}]}");
        REQUIRE(document);
        return document->value->organisations.at({"one"}).priority;
    };
    CHECK(priority_of("") == 0);
    CHECK(priority_of(R"(,"priority":-3)") == -3);
    CHECK(priority_of(R"(,"priority":99999999999)") == std::numeric_limits<int>::max());
    CHECK(priority_of(R"(,"priority":-1e300)") == std::numeric_limits<int>::min());
}

TEST_CASE("a caller's API key is not forwarded, and only the router sets the organisation header") {
    const auto protocol = platform::make_request_protocol();
    auto request = protocol.read_request({"POST",
                                          "/p/1",
                                          {{"Host", "a.example"},
                                           {"X-Attempt-Id", "abc"},
                                           {"Authorization", "Token secret"},
                                           {"x-tenant", "forged"}},
                                          ""});
    REQUIRE(request);
    CHECK(request->key_hash == settings::hash_of_key("secret"));
    for (const auto purpose : {ports::attempt_purpose::run, ports::attempt_purpose::prefill}) {
        const auto without =
            protocol.make_upstream_request(*request, {.instance = {"i-1"}, .purpose = purpose});
        CHECK(wire::find_header(without.headers, "X-Tenant").empty());
        auto named = *request;
        named.organisation = {"one"};
        const auto sent = protocol.make_upstream_request(named, {.instance = {"i-1"}, .purpose = purpose});
        CHECK(wire::find_header(sent.headers, "X-Tenant") == "one");
        CHECK(wire::find_header(sent.headers, "Authorization").empty());
    }
}

TEST_CASE("decoders survive randomly corrupted records, registry entries and configurations") {
    std::mt19937_64 random(5);
    const std::string entry = R"({"service":"s","address":"10.0.0.9:80","zone":"z","version":"v1","slots":6,)"
                              R"("state":"ready","coldRemainingMs":0,"sequence":4,"born":17})";
    const std::string configuration =
        R"({"version":7,"routes":[{"name":"r","host":"a","pathPrefix":"/p/","kind":"streaming","service":"s"}],)"
        R"("services":[{"name":"s","engine":{"slots":1}}],"limits":{},)"
        R"("tenants":[{"name":"one","apiKeys":["k"],"ratePerS":3,"burst":1}]})";
    const std::string page = std::string(16, '\0') + platform::encode_record({"key", entry, 0}) +
                             platform::encode_record({"other", configuration, 1});
    const auto corrupt = [&random](std::string bytes) {
        for (int changes = 1 + static_cast<int>(random() % 3); changes > 0; --changes)
            bytes[random() % bytes.size()] = static_cast<char>(random() % 256);
        if (random() % 4 == 0)
            bytes.resize(random() % bytes.size());
        return bytes;
    };
    for (int round = 0; round < 20'000; ++round) {
        (void)platform::decode_upstream_entry("i-1", corrupt(entry));
        (void)platform::read_configuration(corrupt(configuration));
        (void)platform::decode_page(corrupt(page), 3);
        (void)platform::decode_base64(corrupt(entry));
    }
}

// Guards against names that go out in header fields, and to other hosts, as somebody else wrote them.
TEST_CASE("what goes out in header fields and paths holds no control character") {
    for (const std::string& odd : {"a\\r\\nX: y"s, "a\\nb"s, "a\\u0000b"s, "a\\u007f"s}) {
        INFO(odd);
        for (const auto* field : {"service", "zone", "version"}) {
            std::string entry =
                R"({"service":"s","address":"10.0.0.9:80","zone":"z","version":"v1","slots":1,)"
                R"("state":"ready","coldRemainingMs":0,"sequence":4,"more":0})";
            REQUIRE(platform::decode_upstream_entry("i-1", entry));
            const auto begin = entry.find('"' + std::string(field) + '"');
            entry.insert(entry.find(":\"", begin) + 2, odd);
            CHECK_FALSE(platform::decode_upstream_entry("i-1", entry));
        }
        CHECK_FALSE(platform::read_configuration(
            R"({"version":7,"routes":[],"services":[],"tenants":[{"name":")" + odd + R"(","apiKeys":[]}]})"));
        CHECK_FALSE(platform::make_request_protocol().read_handle(R"({"kvHandle":")" + odd + R"("})"));
    }
    for (const auto* id : {"", "a b", "a\r\n", "\xff", "a\x7f"})
        CHECK_FALSE(platform::is_upstream_id(id));
    for (const auto* handle : {"", ".", ".."})
        CHECK_FALSE(platform::make_request_protocol().read_handle(R"({"kvHandle":")" + std::string(handle) +
                                                                  R"("})"));
    CHECK(platform::make_request_protocol()
              .make_release({.upstream = {"i-1"}, .address = "10.0.0.9:80", .handle = "h/../x?y"})
              .target == "/api/kv-handle/h%2F..%2Fx%3Fy");
}
