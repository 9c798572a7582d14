#include "jujube/http/server.h"

#include <memory>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "jujube/http/exchange_processor.h"
#include "jujube/http/exchange_server.h"
#include "jujube/http/memory_stream.h"
#include "jujube/http/request_processor.h"
#include "jujube/http/server_task.h"
#include "jujube/http/tls.h"

namespace jujube::http {
namespace {

using internal::ProcessHook;
using internal::ServerConfig;
using internal::ServerTask;

Result<runtime::ChildSpec> makeServer(const std::string &name,
                                      ServerOptions options,
                                      ProcessHook process,
                                      std::function<bool()> isHealthy) {
  ServerConfig config{std::move(options), std::move(process),
                      std::move(isHealthy)};
  if (config.Options.Listen.Ip.empty())
    return Error{ErrorKind::InvalidArgument, "no address to listen on",
                 "give IP:PORT"};
  if (config.Options.Tls) {
    auto context = makeTlsContext(*config.Options.Tls);
    if (!isOk(context))
      return errorOf(context);
    config.Tls = valueOf(std::move(context));
  }
  return runtime::ChildSpec{
      name, [config = std::move(config)](runtime::TaskContext &context) {
        return ServerTask(config, context).run();
      }};
}

} // namespace

Result<runtime::ChildSpec> serverTask(ServerOptions options,
                                      api::ExecuteHook execute,
                                      std::function<bool()> isHealthy) {
  const auto requests = std::make_shared<RequestProcessor>(
      RequestProcessor::Options{{options.MaxPayload},
                                options.MaxBody,
                                options.KeepAlive,
                                std::move(execute),
                                isHealthy});
  return makeServer(
      "http", std::move(options),
      [requests](const AssembledRequest &request, std::string &output) {
        const std::string whole = absl::StrCat(request.Head, request.Body);
        MemoryStream stream(whole, output);
        return requests->process(stream);
      },
      std::move(isHealthy));
}

Result<runtime::ChildSpec> exchangeServerTask(const std::string &name,
                                              ServerOptions options,
                                              RawRequestHook answer,
                                              std::function<bool()> isHealthy) {
  const auto requests = std::make_shared<ExchangeProcessor>(
      options, std::move(answer), isHealthy);
  return makeServer(
      name, std::move(options),
      [requests](AssembledRequest request, std::string &output) {
        return requests->process(std::move(request), output);
      },
      std::move(isHealthy));
}

} // namespace jujube::http
