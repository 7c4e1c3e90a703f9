#ifndef SEQUOIASTAGE_ADMIN_ADMIN_HANDLER_H_
#define SEQUOIASTAGE_ADMIN_ADMIN_HANDLER_H_

#include <concepts>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "sequoiastage/admin/admin_message.h"
#include "sequoiastage/admin/admin_render.h"
#include "sequoiastage/admin/admin_route.h"
#include "sequoiastage/admin/admin_state.h"
#include "sequoiastage/admin/admin_token.h"
#include "sequoiastage/metrics/metric_family.h"

namespace sequoiastage {

using PublishDone = std::function<void(const PublishResult&)>;
using DrainDone = std::function<void(const DrainResult&)>;
using KeyInfoDone = std::function<void(const std::optional<KeyInfo>&)>;

/// Source of the state and the commands of the administration API. Publish(),
/// SetDraining() and FindKey() invoke their callback exactly once, possibly
/// after they return, on the thread that calls Handle().
template <class S>
concept AdminSource = requires(S& source,
                               const PublishRequest& publish,
                               InstanceId instance,
                               const std::string& key,
                               PublishDone publish_done,
                               DrainDone drain_done,
                               KeyInfoDone key_done) {
  { source.Status() } -> std::convertible_to<NodeStatus>;
  { source.Config() } -> std::convertible_to<ConfigState>;
  { source.Rollout() } -> std::convertible_to<ConfigRollout>;
  { source.Services() } -> std::convertible_to<std::vector<ServiceInfo>>;
  { source.Instances() } -> std::convertible_to<std::vector<InstanceInfo>>;
  { source.Nodes() } -> std::convertible_to<std::vector<NodeInfo>>;
  { source.Audit() } -> std::convertible_to<std::vector<AuditRecord>>;
  { source.Metrics() } -> std::convertible_to<std::vector<MetricFamily>>;
  source.Publish(publish, publish_done);
  source.SetDraining(instance, true, drain_done);
  source.FindKey(key, key_done);
};

struct AdminOptions {
  /// Bearer token; see IsAdminAllowed().
  std::string m_token = {};
  /// Address on which the API is served.
  Endpoint m_listen = {};
};

/// Handles requests to the administration API; sends one response for each and
/// uses no sockets. Not thread-safe. `source` must outlive the handler.
///
///   GET  /v1/status                      state of this node
///   GET  /v1/config                      documents in force
///   GET  /v1/config/history              accepted changes, newest first
///   GET  /v1/config/status[?version=N]   rollout of a version
///   POST /v1/config/publish              PublishRequest as JSON
///   GET  /v1/services, /v1/services/NAME
///   GET  /v1/instances[?service=NAME]
///   POST /v1/instances/ID/drain, /v1/instances/ID/undrain
///   GET  /v1/nodes, /v1/nodes/ID
///   GET  /v1/outcomes/KEY                outcome of an idempotency key
///   GET  /v1/audit
///   GET  /metrics                        metrics in text format
///
/// Lists accept the query parameter "limit". Error responses have the content
/// type application/problem+json.
template <AdminSource Source>
class AdminHandler {
 public:
  AdminHandler(AdminOptions options, Source* source)
      : m_options(std::move(options)), m_source(source) {}

  void Handle(const HttpRequest& request, AdminResponder reply) {
    const std::string* authorization =
        FindField(request.m_fields, "Authorization");
    if (!IsAdminAllowed(m_options.m_token,
                        authorization != nullptr ? *authorization : "",
                        m_options.m_listen.m_ip)) {
      reply(RenderUnauthorized());
      return;
    }
    HttpResponse problem;
    const auto route =
        ParseAdminRoute(request.m_method, request.m_target, &problem);
    if (!route) {
      reply(std::move(problem));
      return;
    }
    Dispatch(*route, request, std::move(reply));
  }

 private:
  void Dispatch(const AdminRoute& route,
                const HttpRequest& request,
                AdminResponder reply) {
    switch (route.m_action) {
      case AdminAction::kConfigPublish:
        Publish(request, std::move(reply));
        return;
      case AdminAction::kInstanceDrain:
      case AdminAction::kInstanceUndrain:
        SetDraining(route, std::move(reply));
        return;
      case AdminAction::kOutcome:
        FindKey(route, std::move(reply));
        return;
      default:
        reply(RenderState(route));
    }
  }

  HttpResponse RenderState(const AdminRoute& route) {
    switch (route.m_action) {
      case AdminAction::kStatus:
        return RenderStatus(m_source->Status());
      case AdminAction::kConfig:
        return RenderConfig(m_source->Config());
      case AdminAction::kConfigHistory:
        return RenderConfigHistory(route, m_source->Audit());
      case AdminAction::kConfigStatus:
        return RenderConfigRollout(route, m_source->Rollout());
      case AdminAction::kServices:
        return RenderServices(route, m_source->Services(),
                              m_source->Instances());
      case AdminAction::kService:
        return RenderService(route, m_source->Services(),
                             m_source->Instances());
      case AdminAction::kInstances:
        return RenderInstances(route, m_source->Instances());
      case AdminAction::kNodes:
        return RenderNodes(route, m_source->Nodes());
      case AdminAction::kNode:
        return RenderNode(route, m_source->Nodes());
      case AdminAction::kAudit:
        return RenderAudit(route, m_source->Audit());
      default:
        return RenderMetricsText(m_source->Metrics());
    }
  }

  void Publish(const HttpRequest& request, AdminResponder reply) {
    HttpResponse problem;
    auto publish = ParsePublishRequest(request, &problem);
    if (!publish) {
      reply(std::move(problem));
      return;
    }
    auto done = [publish = *publish,
                 reply = std::move(reply)](const PublishResult& result) {
      reply(RenderPublishResult(publish, result));
    };
    m_source->Publish(*publish, std::move(done));
  }

  void SetDraining(const AdminRoute& route, AdminResponder reply) {
    const auto endpoint = ParseEndpoint(route.m_argument);
    if (!endpoint) {
      reply(RenderDrainResult(route,
                              {.m_verdict = DrainVerdict::kNoSuchInstance}));
      return;
    }
    auto done = [route, reply = std::move(reply)](const DrainResult& result) {
      reply(RenderDrainResult(route, result));
    };
    m_source->SetDraining(InstanceId(*endpoint),
                          route.m_action == AdminAction::kInstanceDrain,
                          std::move(done));
  }

  void FindKey(const AdminRoute& route, AdminResponder reply) {
    const std::string key = route.m_argument;
    auto done =
        [key, reply = std::move(reply)](const std::optional<KeyInfo>& state) {
          reply(RenderKeyInfo(key, state));
        };
    m_source->FindKey(key, std::move(done));
  }

  AdminOptions m_options;
  Source* m_source;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_ADMIN_ADMIN_HANDLER_H_
