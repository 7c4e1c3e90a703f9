#ifndef SEQUOIASTAGE_NODE_CONFIG_FEED_P_H_
#define SEQUOIASTAGE_NODE_CONFIG_FEED_P_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

#include "sequoiastage/base/ids.h"
#include "sequoiastage/config/config.h"
#include "sequoiastage/config/route_table.h"
#include "sequoiastage/http/http_client.h"
#include "sequoiastage/platform/log_client.h"

namespace sequoiastage {

// Follows the platform's log and keeps the configuration in force. Owned by
// the control thread.
class ConfigFeed {
 public:
  struct Options {
    Endpoint m_log;
    std::string m_site;
  };

  // `on_change` is called after each change of what is in force.
  ConfigFeed(asio::io_context& io,
             Options options,
             std::function<void()> on_change);

  void Start();
  void Stop();

  LogOffset Version() const { return m_version; }
  const std::shared_ptr<const Config>& InForce() const { return m_config; }
  const std::shared_ptr<const RouteTable>& Routes() const { return m_routes; }
  bool IsEjected(InstanceId instance, Incarnation incarnation) const;

 private:
  void Poll();
  void ArmPoll();
  void OnPage(const HttpCallResult& result);
  void Apply(const LogRecord& record);

  Options m_options;
  std::function<void()> m_on_change;
  HttpClient m_client;
  asio::steady_timer m_timer;
  LogOffset m_next;
  LogOffset m_version;
  std::shared_ptr<const Config> m_config;
  std::shared_ptr<const RouteTable> m_routes;
  bool m_is_log_down = false;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_NODE_CONFIG_FEED_P_H_
