// SPDX-License-Identifier: BSD-2-Clause
#include <wire/json_rpc.h>

#include <json/json.h>
#include <jsonrpccpp/client.h>
#include <jsonrpccpp/server.h>

namespace postpaddle {
namespace wire {

namespace {

const char* const payload_name = "payload";

std::string format_json(const Json::Value& value) {
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

bool parse_json(const std::string& text, Json::Value& value) {
    const Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    return reader->parse(text.data(), text.data() + text.size(), &value, nullptr);
}

/// Server connector without a transport of its own: `respond` passes requests in, and `SendResponse` stores
/// the response in the string that its second argument points to.
class listener_connector : public jsonrpc::AbstractServerConnector {
public:
    bool StartListening() override { return true; }
    bool StopListening() override { return true; }
    bool SendResponse(const std::string& response, void* response_text) override {
        *static_cast<std::string*>(response_text) = response;
        return true;
    }
};

/// Client connector over a `json_rpc_transport`.
class transport_connector : public jsonrpc::IClientConnector {
public:
    explicit transport_connector(const json_rpc_transport& transport) : transport(transport) {}

    void SendRPCMessage(const std::string& message,
                        std::string& result) throw(jsonrpc::JsonRpcException) override {
        if (!this->transport(message, result))
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR, "no answer");
    }

private:
    const json_rpc_transport& transport;
};

/// Dispatches all methods through one handler, as the methods are known only at run time.
class dispatching_server : public jsonrpc::IProcedureInvokationHandler {
public:
    dispatching_server(jsonrpc::AbstractServerConnector& connector,
                       const std::map<std::string, json_rpc_server::method>& method_table)
        : handler(jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2, *this)),
          methods(method_table) {
        connector.SetHandler(this->handler.get());
        for (const auto& method : this->methods)
            this->handler->AddProcedure(jsonrpc::Procedure(method.first, jsonrpc::PARAMS_BY_NAME,
                                                           jsonrpc::JSON_OBJECT, payload_name,
                                                           jsonrpc::JSON_OBJECT, NULL));
    }

    void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input,
                          Json::Value& output) override {
        const std::string result =
            this->methods.at(procedure.GetProcedureName())(format_json(input[payload_name]));
        parse_json(result, output);
    }

    void HandleNotificationCall(jsonrpc::Procedure& /*procedure*/, const Json::Value& /*input*/) override {}

private:
    std::unique_ptr<jsonrpc::IProtocolHandler> handler;
    std::map<std::string, json_rpc_server::method> methods;
};

} // namespace

struct json_rpc_server::implementation {
    explicit implementation(const std::map<std::string, method>& methods) : server(connector, methods) {}

    listener_connector connector;
    dispatching_server server;
};

json_rpc_server::json_rpc_server(const std::map<std::string, method>& methods)
    : impl(new implementation(methods)) {}

json_rpc_server::~json_rpc_server() = default;

std::string json_rpc_server::respond(const std::string& request) {
    std::string response;
    this->impl->connector.OnRequest(request, &response);
    return response;
}

bool json_rpc_call(const json_rpc_transport& transport, const std::string& method, const std::string& payload,
                   std::string& result, std::string& error) {
    Json::Value parameters;
    if (!parse_json(payload, parameters[payload_name])) {
        error = "the payload is not JSON";
        return false;
    }
    try {
        transport_connector connector(transport);
        jsonrpc::Client client(connector);
        result = format_json(client.CallMethod(method, parameters));
        return true;
    } catch (const jsonrpc::JsonRpcException& exception) {
        error = exception.what();
        return false;
    }
}

} // namespace wire
} // namespace postpaddle
