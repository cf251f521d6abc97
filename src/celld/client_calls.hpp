#pragma once

#include "celld/cell_metrics.hpp"
#include "celld/gateway.hpp"
#include "mulberryramp/cell/cell_node.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace mulberryramp {

/// @brief The HTTP requests of callers, workers and operators that a cell node
/// is serving.
class ClientCalls {
public:
  /// @brief Writes a line to the event log.
  using EventHandler = std::function<void(std::string_view)>;

  /// @param ControlPort Port of the control listener on all nodes. All
  /// references must outlive the calls.
  ClientCalls(const Gateway &Protocol, CellNode &Node, CellMetrics &Telemetry,
              EventHandler OnEvent, std::uint16_t ControlPort)
      : Protocol{Protocol}, Node{Node}, Telemetry{Telemetry},
        OnEvent{std::move(OnEvent)}, ControlPort{ControlPort} {}

  /// @brief Passes a request on to the cell, or answers it.
  void onRequest(Listener Source, HttpServer &Http, std::uint64_t ExchangeId,
                 const HttpRequest &Request);

  /// @brief Answers the request that a reply of the cell is for.
  void answer(const LocalReply &Done);

  /// @brief Starts reads of the configuration that had to wait, as far as there
  /// is room for their responses; call it once per step.
  void startWaitingReads();

  /// @brief Returns the number of requests that wait for a reply of the cell.
  [[nodiscard]] std::size_t openCount() const noexcept {
    return OpenRequests.size();
  }

private:
  /// An HTTP request that waits for the reply of the cell.
  struct OpenRequest {
    HttpServer *Http = nullptr;
    std::uint64_t ExchangeId = 0; ///< Id of the request in `Http`.
    CallType Type;
    std::string Path;        ///< For log lines.
    bool IsOfCaller = false; ///< The call is a `JobCall`.
    Instant ReceivedAt;
    /// Error of a request that is invalid itself; sent if its check is passed.
    std::optional<HttpResponse> Rejection;
    /// The check reads the job of a submission whose body was refused. The
    /// response is `Rejection` only if the job does not exist.
    bool IsSubmissionCheck = false;
  };

  void onRefusedBody(Listener Source, HttpServer &Http,
                     std::uint64_t ExchangeId, const HttpRequest &Request);
  void start(OpenRequest Pending, CellCall Call);
  [[nodiscard]] HttpResponse makeResponse(const OpenRequest &Pending,
                                          const CellReply &Reply) const;
  [[nodiscard]] std::string controlAddress() const;

  const Gateway &Protocol;
  CellNode &Node;
  CellMetrics &Telemetry;
  EventHandler OnEvent;
  std::uint16_t ControlPort;
  std::map<std::uint64_t, OpenRequest> OpenRequests;
  std::uint64_t NextCall = 1;
  /// Reads of the configuration that are in `OpenRequests`, and further ones.
  std::size_t OpenReads = 0;
  std::deque<OpenRequest> WaitingReads;
};

} // namespace mulberryramp
