// SPDX-License-Identifier: BSD-2-Clause
// Stand-in for the platform's metadata store: keyed topics with long-poll reads. Faults are
// injected through `/control`.
// Source: "What postpaddle speaks", The platform's metadata store.

#include <common/stand_in_server.h>
#include <platform/record_codec.h>

#include <boost/algorithm/string/join.hpp>
#include <boost/algorithm/string/replace.hpp>
#include <boost/endian/conversion.hpp>
#include <gflags/gflags.h>

#include <csignal>
#include <cstdlib>
#include <map>
#include <set>
#include <sstream>

DEFINE_int32(port, 0, "port on 127.0.0.1; 0 lets the system choose");
DEFINE_int32(hosts, 4, "listens likewise on as many addresses of the network, one for each host under test");
DEFINE_string(network, "127.1.0.", "first three numbers of the addresses of the hosts under test");

namespace {

using namespace postpaddle;
using base::boot_clock;
using stand_in::json;
using std::chrono::milliseconds;

/// Records of one topic, with consecutive offsets.
struct topic {
    std::map<std::uint64_t, platform::keyed_record> records;
    std::map<std::string, std::uint64_t> newest_offsets; ///< By key, without deleted keys.
    std::uint64_t end_offset = 0;

    void append(const std::string& key, std::optional<std::string> value) {
        if (value)
            this->newest_offsets[key] = this->end_offset;
        else
            this->newest_offsets.erase(key);
        this->records[this->end_offset] = {key, std::move(value), this->end_offset};
        ++this->end_offset;
    }

    /// Makes all records unreadable except through `/api/log-newest`.
    void forget() { this->first_readable_offset = this->end_offset; }

    /// Offset of the oldest record that reads return. `/api/log-newest` also returns older records.
    [[nodiscard]] std::uint64_t first_offset() const { return this->first_readable_offset; }
    std::uint64_t first_readable_offset = 0;
};

/// What a listing of the newest records shows of a topic.
struct topic_listing {
    std::map<std::string, std::uint64_t> newest_offsets; ///< By key.
    std::uint64_t end_offset = 0;
};

/// Limits of a response, as the store documents them. `/control` lowers them, so that few records fill a
/// page.
struct page_limits {
    std::size_t read_bytes = 1'024UL * 1024;   ///< Of the records of a read, unless it asks for less.
    std::size_t newest_records = 500;          ///< Of a listing of the newest records.
    std::size_t newest_bytes = 1'024UL * 1024; ///< Likewise.
};

/// What a listing does that is to go on after a key which the topic doesn't have.
enum class unknown_key_handling {
    go_on,      ///< It goes on with the next key in order.
    refuse,     ///< The call gets 400.
    begin_anew, ///< It begins anew.
};

/// Pages of listings of a topic that were asked for.
struct listing_counters {
    int begun = 0; ///< First pages.
    int pages = 0; ///< All pages.
};

/// Faults injected through `/control`.
struct store_faults {
    std::string failure_mode; ///< Empty, `busy` (503), `reset` or `silent`.
    /// Addresses of the store that `failure_mode` applies to; empty: all.
    std::set<std::string> affected_addresses;
    int response_delay_ms = 0; ///< Before each response.
    int lost_responses = 0;    ///< Appends still to take effect without being answered.
    /// Addresses to name in place of others, by the address at which a host calls the store.
    std::map<std::string, std::map<std::string, std::string>> links;
};

std::string encode_u64(std::uint64_t value) {
    std::string bytes(sizeof(value), '\0');
    boost::endian::endian_store<std::uint64_t, sizeof(value), boost::endian::order::big>(
        reinterpret_cast<unsigned char*>(bytes.data()), value);
    return bytes;
}

/// Key or text of a change, which may hold any bytes: FIELD, or FIELD_base64.
std::string bytes_of(const json& change, const std::string& field) {
    if (change.contains(field))
        return change[field].get<std::string>();
    return platform::decode_base64(change.at(field + "_base64").get<std::string>()).value();
}

/// Length of an encoded surrogate at the beginning of the text, which is no UTF-8; 0 if there is none.
std::size_t length_of_surrogate(std::string_view text) {
    static constexpr std::size_t surrogate_length = 3;
    const bool is_surrogate =
        text.size() >= surrogate_length && text[0] == '\xED' && (text[1] & '\xE0') == '\xA0';
    return is_surrogate ? surrogate_length : 0;
}

/// A key as JSON, as a careless store writes it: a surrogate without a partner as its escape, other bytes
/// that are no UTF-8 as they stand.
std::string key_as_json(std::string_view key) {
    std::string text = "\"";
    while (!key.empty()) {
        if (const std::size_t length = length_of_surrogate(key)) {
            static constexpr unsigned low_bits = 0x3F;
            static constexpr unsigned bits_of_byte = 6;
            std::ostringstream escape;
            escape << "\\u" << std::hex
                   << (0xD000U | (static_cast<unsigned>(key[1]) & low_bits) << bits_of_byte |
                       (static_cast<unsigned>(key[2]) & low_bits));
            text += escape.str();
            key.remove_prefix(length);
            continue;
        }
        const bool is_escaped = key[0] == '"' || key[0] == '\\' || static_cast<unsigned char>(key[0]) < ' ';
        const std::string escaped = is_escaped ? json(std::string(1, key[0])).dump() : "";
        text += is_escaped ? escaped.substr(1, escaped.size() - 2) : std::string(1, key[0]);
        key.remove_prefix(1);
    }
    return text + '"';
}

class platform_store {
public:
    explicit platform_store(wire::asio::io_context& context) : context(&context) {}

    void serve(const wire::http_request& request, wire::caller_connection& connection,
               wire::yield_context yield) {
        if (request.target == "/control") {
            (void)connection.send(this->control(stand_in::parse_json_body(request)), yield);
            return;
        }
        ++this->calls;
        if (!stand_in::is_uri_target(request.target)) {
            (void)connection.send(stand_in::json_response({{"error", "no URI"}}, 400), yield);
            return;
        }
        if (this->try_apply_fault(request, connection, yield))
            return;
        if (request.target.starts_with("/api/log-append"))
            this->append(request, connection, yield);
        else if (request.target.starts_with("/api/log-read"))
            this->read(request, connection, yield);
        else if (request.target.starts_with("/api/log-newest"))
            (void)connection.send(this->newest_records(request), yield);
        else
            (void)connection.send(stand_in::json_response({{"error", "no such call"}}, 404), yield);
    }

private:
    /// Each host under test calls the store at a different address, so a fault can affect single hosts.
    [[nodiscard]] static std::string caller_of(const wire::http_request& request) {
        const std::string host(wire::find_header(request.headers, "Host"));
        return host.substr(0, host.find(':'));
    }

    [[nodiscard]] bool is_affected(const wire::http_request& request) const {
        return !this->faults.failure_mode.empty() &&
               (this->faults.affected_addresses.empty() ||
                this->faults.affected_addresses.contains(caller_of(request)));
    }

    /// The value with the addresses of the caller's own links in place of the servers'.
    [[nodiscard]] std::string value_for(const wire::http_request& request, std::string value) const {
        const auto links = this->faults.links.find(caller_of(request));
        if (links == this->faults.links.end())
            return value;
        for (const auto& [address, link] : links->second)
            boost::algorithm::replace_all(value, '"' + address + '"', '"' + link + '"');
        return value;
    }

    /// Returns whether the request was handled by a fault.
    bool try_apply_fault(const wire::http_request& request, wire::caller_connection& connection,
                         wire::yield_context yield) {
        if (this->faults.response_delay_ms > 0)
            this->sleep(milliseconds(this->faults.response_delay_ms), yield);
        if (!this->is_affected(request))
            return false;
        if (this->faults.failure_mode == "busy")
            (void)connection.send(stand_in::json_response({{"error", "busy"}}, 503), yield);
        else if (this->faults.failure_mode == "reset")
            connection.abort();
        else
            this->hang_until_closed(connection, yield);
        return true;
    }

    /// Sends nothing until the client closes the connection.
    void hang_until_closed(wire::caller_connection& connection, wire::yield_context yield) {
        connection.watch_for_disconnect([] {});
        while (!connection.is_closed())
            this->sleep(milliseconds(20), yield);
    }

    void sleep(milliseconds delay, wire::yield_context yield) {
        wire::error_code ignored;
        wire::boot_timer timer(*this->context, delay);
        timer.async_wait(yield[ignored]);
    }

    /// The partition that a call is about. Partition 0 has the topic's own name, by which `/control` knows
    /// it.
    topic& partition_of(const wire::http_request& request) {
        std::string name = stand_in::query_parameter(request.target, "topic");
        const std::string part = stand_in::query_parameter(request.target, "part");
        if (!part.empty() && part != "0")
            name += '/' + part;
        return this->topics[name];
    }

    void append(const wire::http_request& request, wire::caller_connection& connection,
                wire::yield_context yield) {
        topic& target = this->partition_of(request);
        // Appended records are encoded like those of a read response, which starts with two offsets.
        const auto page =
            platform::decode_page(encode_u64(0) + encode_u64(0) + request.body, target.end_offset);
        if (!page) {
            (void)connection.send(stand_in::json_response({{"error", "malformed"}}, 400), yield);
            return;
        }
        const std::string at = stand_in::query_parameter(request.target, "at");
        if (!at.empty() && std::strtoull(at.c_str(), nullptr, 10) != target.end_offset) {
            (void)connection.send(stand_in::json_response({{"end", target.end_offset}}, 412), yield);
            return;
        }
        const std::uint64_t offset = target.end_offset;
        for (const platform::keyed_record& record : page->records)
            target.append(record.key, record.value);
        if (this->faults.lost_responses > 0) {
            --this->faults.lost_responses;
            this->hang_until_closed(connection, yield);
            return;
        }
        (void)connection.send(stand_in::json_response({{"offset", offset}, {"end", target.end_offset}}),
                              yield);
    }

    void read(const wire::http_request& request, wire::caller_connection& connection,
              wire::yield_context yield) {
        const auto field = [&](const char* name) {
            return std::strtoull(stand_in::query_parameter(request.target, name).c_str(), nullptr, 10);
        };
        const topic& target = this->partition_of(request);
        const std::uint64_t from_offset = field("source");
        const auto deadline = boot_clock::now() + milliseconds(field("waitMs"));
        while (from_offset >= target.end_offset && boot_clock::now() < deadline &&
               !this->is_affected(request))
            this->sleep(milliseconds(5), yield);
        if (this->is_affected(request)) {
            (void)this->try_apply_fault(request, connection, yield);
            return;
        }
        if (from_offset < target.first_offset()) {
            (void)connection.send(stand_in::json_response({{"first", target.first_offset()}}, 410), yield);
            return;
        }
        const std::uint64_t asked_kb = field("max_kb");
        const std::size_t max_bytes =
            std::min<std::size_t>(this->pages.read_bytes, asked_kb > 0 ? asked_kb * 1024 : SIZE_MAX);
        std::string records;
        for (auto record = target.records.lower_bound(from_offset); record != target.records.end();
             ++record) {
            const std::string next = platform::encode_record(this->record_for(request, record->second));
            if (!records.empty() && records.size() + next.size() > max_bytes)
                break;
            records += next;
        }
        const std::string offsets = encode_u64(target.end_offset) + encode_u64(target.first_offset());
        (void)connection.send({200, {}, offsets + records}, yield);
    }

    [[nodiscard]] platform::keyed_record record_for(const wire::http_request& request,
                                                    platform::keyed_record record) const {
        if (record.value)
            record.value = this->value_for(request, *record.value);
        return record;
    }

    /// What a listing shows now: the topic as it is, or as it was when listings became stale.
    [[nodiscard]] topic_listing listing_of(const wire::http_request& request) {
        const std::string name = stand_in::query_parameter(request.target, "topic");
        const auto stale = this->stale_listings.find(name);
        if (stale != this->stale_listings.end())
            return stale->second;
        const topic& target = this->partition_of(request);
        return {target.newest_offsets, target.end_offset};
    }

    /// The first item of a listing's page; nothing if the key after which it starts is refused.
    [[nodiscard]] std::optional<std::map<std::string, std::uint64_t>::const_iterator>
    first_item(const topic_listing& listing, const std::optional<std::string>& after) const {
        const bool is_known = !after || listing.newest_offsets.contains(*after);
        if (!is_known && this->on_unknown_key == unknown_key_handling::refuse)
            return std::nullopt;
        if (!after || (!is_known && this->on_unknown_key == unknown_key_handling::begin_anew))
            return listing.newest_offsets.begin();
        return listing.newest_offsets.upper_bound(*after);
    }

    [[nodiscard]] wire::http_response newest_records(const wire::http_request& request) {
        const topic& target = this->partition_of(request);
        const topic_listing listing = this->listing_of(request);
        const auto after = stand_in::find_query_parameter(request.target, "after");
        listing_counters& counters = this->listings[stand_in::query_parameter(request.target, "topic")];
        ++counters.pages;
        counters.begun += after ? 0 : 1;
        const auto first = this->first_item(listing, after);
        if (!first)
            return stand_in::json_response({{"error", "no such key"}}, 400);
        std::vector<std::string> items;
        for (const json& item : after ? json::array() : this->malformed_items)
            items.push_back(item.dump());
        std::size_t bytes = 0;
        auto next = *first;
        for (; next != listing.newest_offsets.end() && items.size() < this->pages.newest_records &&
               bytes < this->pages.newest_bytes;
             ++next) {
            const std::string value = this->value_for(request, *target.records.at(next->second).value);
            bytes += value.size();
            items.push_back("{\"key\":" + key_as_json(next->first) + ",\"value\":\"" +
                            stand_in::encode_base64(value) + "\",\"offset\":" + std::to_string(next->second) +
                            "}");
        }
        const bool has_more = next != listing.newest_offsets.end();
        return {200,
                {{"Content-Type", "application/json"}},
                "{\"items\":[" + boost::algorithm::join(items, ",") + "],\"more\":" +
                    (has_more ? "true" : "false") + ",\"end\":" + std::to_string(listing.end_offset) + "}"};
    }

    /// Sets faults and changes records: `put` appends a JSON value, `put_text` appends a raw string, `drop`
    /// deletes a key, and `forget` makes all records of these topics unreadable except through
    /// `/api/log-newest`, in one step with the change. `stale_listings` has that answer as of now until it is
    /// false. `unknown_key` (`go_on`, `refuse` or `begin_anew`) says what a listing does that is to go on
    /// after a key which isn't there.
    wire::http_response control(const json& body) {
        this->faults.failure_mode = body.value("mode", this->faults.failure_mode);
        this->faults.response_delay_ms = body.value("slow_ms", this->faults.response_delay_ms);
        this->faults.lost_responses = body.value("lose_answers", this->faults.lost_responses);
        if (body.contains("links"))
            this->faults.links =
                body["links"].get<std::map<std::string, std::map<std::string, std::string>>>();
        if (body.contains("turned_away"))
            this->faults.affected_addresses = body["turned_away"].get<std::set<std::string>>();
        this->pages.read_bytes = body.value("read_bytes", this->pages.read_bytes);
        this->pages.newest_records = body.value("newest_records", this->pages.newest_records);
        if (body.contains("put"))
            this->topics[body["put"].at("topic")].append(body["put"].at("key"),
                                                         body["put"].at("value").dump());
        if (body.contains("put_text"))
            this->topics[body["put_text"].at("topic")].append(bytes_of(body["put_text"], "key"),
                                                              bytes_of(body["put_text"], "text"));
        this->malformed_items = body.value("bad_items", this->malformed_items);
        if (body.contains("stale_listings"))
            this->set_stale_listings(body["stale_listings"].get<bool>());
        if (body.contains("drop"))
            this->topics[body["drop"].at("topic")].append(bytes_of(body["drop"], "key"), std::nullopt);
        for (const auto& name : body.value("forget", std::vector<std::string>{}))
            this->topics[name].forget();
        if (body.contains("unknown_key"))
            this->on_unknown_key = unknown_key_handling_of(body["unknown_key"]);
        return stand_in::json_response(
            {{"calls", this->calls}, {"topics", this->topic_ends()}, {"listings", this->listing_counts()}});
    }

    static unknown_key_handling unknown_key_handling_of(const std::string& name) {
        if (name == "refuse")
            return unknown_key_handling::refuse;
        return name == "begin_anew" ? unknown_key_handling::begin_anew : unknown_key_handling::go_on;
    }

    /// Offset after the last record, by topic.
    [[nodiscard]] json topic_ends() const {
        json ends = json::object();
        for (const auto& [name, topic] : this->topics)
            ends[name] = topic.end_offset;
        return ends;
    }

    [[nodiscard]] json listing_counts() const {
        json counts = json::object();
        for (const auto& [name, counters] : this->listings)
            counts[name] = {{"begun", counters.begun}, {"pages", counters.pages}};
        return counts;
    }

    void set_stale_listings(bool are_stale) {
        this->stale_listings.clear();
        for (const auto& [name, target] : this->topics)
            if (are_stale)
                this->stale_listings[name] = {target.newest_offsets, target.end_offset};
    }

    wire::asio::io_context* context;
    std::map<std::string, topic> topics;
    std::map<std::string, topic_listing> stale_listings; ///< By topic; empty while listings are current.
    store_faults faults;
    page_limits pages;
    std::map<std::string, listing_counters> listings; ///< By topic.
    unknown_key_handling on_unknown_key = unknown_key_handling::go_on;
    json malformed_items = json::array(); ///< Prepended to the items of each `/api/log-newest` response.
    std::uint64_t calls = 0;
};

} // namespace

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    wire::asio::io_context context{1};
    platform_store store(context);
    const auto handler = [&store](const wire::http_request& request, wire::caller_connection& connection,
                                  wire::yield_context yield) { store.serve(request, connection, yield); };
    std::vector<std::string> addresses = {"127.0.0.1"};
    for (int host = 1; host <= FLAGS_hosts; ++host)
        addresses.push_back(FLAGS_network + std::to_string(host));
    const auto listeners =
        stand_in::serve_at_each(context, addresses, static_cast<std::uint16_t>(FLAGS_port), handler);
    stand_in::stop_on_signal(context);
    context.run();
    return 0;
}
