// SPDX-License-Identifier: BSD-2-Clause
#include <settings/settings_log.h>

#include <base/json_parser.h>
#include <settings/node_reader.h>

#include <boost/algorithm/string.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace postpaddle::settings {

namespace {

using json = nlohmann::json;

/// Number of verdicts that a state retains, to report them and to detect repeated changes.
constexpr std::size_t max_verdicts = 400;
constexpr const char* document_name = "settings";

const char* kind_name(record_kind kind) {
    switch (kind) {
    case record_kind::replace:
        return "replace";
    case record_kind::assign:
        return "assign";
    case record_kind::snapshot:
        return "snapshot";
    }
    return "";
}

tl::expected<settings_record, std::string> decode_record(const std::string& payload) {
    const json parsed = base::parse_json(payload);
    if (!parsed.is_object() || !parsed.contains("type") || parsed["type"] != "settings")
        return tl::make_unexpected(std::string("another type"));
    try {
        settings_record record;
        const std::string kind = parsed.at("kind").get<std::string>();
        if (kind == kind_name(record_kind::assign))
            record.kind = record_kind::assign;
        else if (kind == kind_name(record_kind::snapshot))
            record.kind = record_kind::snapshot;
        else if (kind != kind_name(record_kind::replace))
            return tl::make_unexpected(std::string("malformed"));
        record.change_id = parsed.at("change_id").get<std::string>();
        record.author = parsed.value("author", "");
        record.base_revision = parsed.at("base_revision").get<log_offset>();
        record.document = parsed.value("document", "");
        record.path = parsed.value("path", "");
        record.value = parsed.value("value", "");
        return record;
    } catch (const json::exception&) {
        return tl::make_unexpected(std::string("malformed"));
    }
}

/// Sets one path of a YAML document; the error describes why the path or the value is invalid.
tl::expected<std::string, std::string> assign_path(const std::string& document, const std::string& path,
                                                   const std::string& value) {
    try {
        YAML::Node root = YAML::Load(document);
        std::vector<std::string> segments;
        boost::split(segments, path, boost::is_any_of("/"));
        YAML::Node node = root;
        for (const std::string& segment : segments) {
            if (segment.empty() || (node.IsDefined() && !node.IsNull() && !node.IsMap()))
                return tl::make_unexpected("`" + path + "` is not a path of maps");
            node.reset(node[segment]);
        }
        node = YAML::Load(value);
        return YAML::Dump(root);
    } catch (const YAML::Exception& error) {
        return tl::make_unexpected(std::string(error.what()));
    }
}

struct candidate {
    std::string document;
    std::shared_ptr<const settings_tree> tree;
};

tl::expected<candidate, std::string> make_candidate(const settings_state& state,
                                                    const settings_record& record) {
    candidate next;
    next.document = record.document;
    if (record.kind == record_kind::assign) {
        auto assigned = assign_path(state.document, record.path, record.value);
        if (!assigned)
            return tl::make_unexpected(assigned.error());
        next.document = *assigned;
    }
    if (next.document.size() > max_document_bytes)
        return tl::make_unexpected(std::string("the document is too large"));
    auto tree = parse_settings_tree(next.document, document_name);
    if (!tree)
        return tl::make_unexpected("invalid: " + to_text(tree.error()));
    next.tree = std::make_shared<const settings_tree>(std::move(*tree));
    return next;
}

void add_verdict(settings_state& state, change_verdict verdict) {
    state.verdicts.push_back(std::move(verdict));
    if (state.verdicts.size() > max_verdicts)
        state.verdicts.pop_front();
}

/// Returns why a record conflicts with the revision in force; empty if it does not.
std::string base_conflict(const settings_state& state, const settings_record& record) {
    if (record.base_revision == state.revision)
        return {};
    std::string reason = "stale base: based on revision " + std::to_string(record.base_revision) +
                         ", in force is " + std::to_string(state.revision);
    const auto winner = std::ranges::find_if(state.verdicts, [&state](const change_verdict& verdict) {
        return verdict.is_accepted && verdict.offset == state.revision;
    });
    if (winner != state.verdicts.end())
        reason += " by " + winner->author + " (change " + winner->change_id + ")";
    return reason;
}

void apply_change(settings_state& state, log_offset offset, const settings_record& record) {
    // A change that was appended again because the log's response was lost keeps its first verdict.
    if (verdict_of(state, record.change_id) != nullptr)
        return;
    change_verdict verdict{record.change_id, offset, false, base_conflict(state, record), record.author};
    if (verdict.reason.empty()) {
        auto next = make_candidate(state, record);
        if (next) {
            verdict.is_accepted = true;
            state.revision = offset;
            state.document = std::move(next->document);
            state.tree = std::move(next->tree);
        } else {
            verdict.reason = next.error();
        }
    }
    add_verdict(state, std::move(verdict));
}

} // namespace

std::string encode_record(const settings_record& record) {
    json encoded = {{"type", "settings"},
                    {"kind", kind_name(record.kind)},
                    {"change_id", record.change_id},
                    {"author", record.author},
                    {"base_revision", record.base_revision}};
    if (record.kind == record_kind::assign) {
        encoded["path"] = record.path;
        encoded["value"] = record.value;
    } else {
        encoded["document"] = record.document;
    }
    return encoded.dump();
}

void update_earliest_offset(settings_state& state, log_offset earliest) {
    if (state.next_offset >= earliest) {
        // No base state is needed if the log still has its first record.
        if (earliest == 1 && state.next_offset == 1)
            state.phase = replay_phase::evaluating;
        return;
    }
    state.phase = replay_phase::needs_base_state;
    state.earliest_offset = earliest;
    state.next_offset = earliest;
}

void apply_record(settings_state& state, log_offset offset, const std::string& payload) {
    if (offset < state.next_offset)
        return;
    state.next_offset = offset + 1;
    if (payload.size() > max_record_bytes) {
        ++state.malformed_records;
        return;
    }
    const auto record = decode_record(payload);
    if (!record) {
        if (record.error() == "malformed")
            ++state.malformed_records;
        return;
    }
    if (record->kind != record_kind::snapshot && state.phase == replay_phase::evaluating)
        apply_change(state, offset, *record);
}

bool apply_snapshot(settings_state& state, const std::string& payload) {
    if (state.phase != replay_phase::needs_base_state || payload.size() > max_record_bytes)
        return false;
    const auto record = decode_record(payload);
    if (!record || record->kind != record_kind::snapshot)
        return false;
    auto base = decode_state(record->document);
    // A snapshot taken before the gap in the records can't bridge it, and an older revision must not replace
    // the one in force.
    if (!base || base->next_offset < state.earliest_offset || base->revision < state.revision)
        return false;
    state = std::move(*base);
    return true;
}

bool adopt_state(settings_state& state, settings_state from_peer) {
    if (from_peer.phase != replay_phase::evaluating || from_peer.revision < state.revision)
        return false;
    const bool is_ahead = from_peer.next_offset > state.next_offset;
    if (state.phase == replay_phase::evaluating && !is_ahead)
        return false;
    state = std::move(from_peer);
    return true;
}

const change_verdict* verdict_of(const settings_state& state, const std::string& change_id) {
    const auto found = std::ranges::find(state.verdicts, change_id, &change_verdict::change_id);
    return found == state.verdicts.end() ? nullptr : &*found;
}

settings_record snapshot_of(const settings_state& state) {
    return {.kind = record_kind::snapshot,
            .change_id = "snapshot-" + std::to_string(state.next_offset),
            .author = "",
            .base_revision = state.revision,
            .document = encode_state(state),
            .path = "",
            .value = ""};
}

std::string encode_state(const settings_state& state) {
    json verdicts = json::array();
    for (const change_verdict& verdict : state.verdicts)
        verdicts.push_back(
            {verdict.change_id, verdict.offset, verdict.is_accepted, verdict.reason, verdict.author});
    return json{{"next_offset", state.next_offset},
                {"revision", state.revision},
                {"document", state.document},
                {"malformed", state.malformed_records},
                {"verdicts", verdicts}}
        .dump();
}

tl::expected<settings_state, std::string> decode_state(const std::string& text) {
    const json parsed = base::parse_json(text);
    try {
        settings_state state;
        state.phase = replay_phase::evaluating;
        state.next_offset = parsed.at("next_offset").get<log_offset>();
        state.revision = parsed.at("revision").get<log_offset>();
        state.document = parsed.at("document").get<std::string>();
        state.malformed_records = parsed.at("malformed").get<std::uint64_t>();
        for (const json& item : parsed.at("verdicts"))
            state.verdicts.push_back({item.at(0), item.at(1), item.at(2), item.at(3), item.at(4)});
        if (state.revision == 0)
            return state;
        auto tree = parse_settings_tree(state.document, document_name);
        if (!tree)
            return tl::make_unexpected("invalid: " + to_text(tree.error()));
        state.tree = std::make_shared<const settings_tree>(std::move(*tree));
        return state;
    } catch (const json::exception& error) {
        return tl::make_unexpected(std::string(error.what()));
    }
}

} // namespace postpaddle::settings
