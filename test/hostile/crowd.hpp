#pragma once

#include "mulberryramp/config/settings.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace mulberryramp::test {

/// @brief What each client of a crowd sends before it stops and holds its
/// connection: the head, the unit a number of times, and the tail.
struct ClientScript {
  std::string Head;
  std::string Unit{};
  std::size_t Units = 0;
  std::string Tail{};
  int ReceiveBufferBytes = 0; ///< Of the socket; 0: default of the system.
  bool ReadsResponses = true;
};

/// @brief Many connections to one address that send the same bytes and stay
/// open. The destructor closes them.
class Crowd {
public:
  /// @brief Opens the connections, fewer if one is not accepted, and sends the
  /// script on all of them, until each has sent it or has ended, or none makes
  /// progress any more.
  Crowd(const Endpoint &Address, std::size_t Size, const ClientScript &Script);
  Crowd(const Crowd &) = delete;
  Crowd &operator=(const Crowd &) = delete;
  ~Crowd();

  /// @brief Sends one more byte on each open connection.
  void sendByte(char Byte);

  /// @brief Returns the number of clients that sent the whole script on a
  /// connection that the server neither answered nor closed.
  [[nodiscard]] std::size_t unansweredClients();

private:
  struct Client {
    int Socket = -1;
    std::size_t Sent = 0;
    bool IsConnected = false;
    bool IsEnded = false;
    bool IsAnswered = false;
  };

  void run();
  /// Sends and receives what a socket accepts.
  void advance(Client &Member, short Events);
  void receive(Client &Member);
  [[nodiscard]] bool isDone(const Client &Member) const;

  ClientScript Script;
  std::string Units; ///< Several units, so that each call sends many bytes.
  std::size_t TotalBytes;
  std::vector<Client> Clients;
};

} // namespace mulberryramp::test
