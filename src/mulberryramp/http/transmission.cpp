#include "mulberryramp/http/transmission.hpp"

#include <sys/socket.h>

namespace mulberryramp {

namespace {

/// Saves the time of a connection that the request must not use.
curl_socket_t openSocketIfUnsent(void *Handle, curlsocktype /*Purpose*/,
                                 curl_sockaddr *Address) {
  return sentBytes(Handle) == 0
             ? ::socket(Address->family, Address->socktype | SOCK_CLOEXEC,
                        Address->protocol)
             : CURL_SOCKET_BAD;
}

/// Called before each transmission, also on a connection that was open.
int transmitIfUnsent(void *Handle, char * /*PeerAddress*/,
                     char * /*LocalAddress*/, int /*PeerPort*/,
                     int /*LocalPort*/) {
  return sentBytes(Handle) == 0 ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
}

} // namespace

void sendAtMostOnce(CURL *Handle) {
  curl_easy_setopt(Handle, CURLOPT_OPENSOCKETFUNCTION, &openSocketIfUnsent);
  curl_easy_setopt(Handle, CURLOPT_OPENSOCKETDATA, Handle);
  curl_easy_setopt(Handle, CURLOPT_PREREQFUNCTION, &transmitIfUnsent);
  curl_easy_setopt(Handle, CURLOPT_PREREQDATA, Handle);
}

std::int64_t sentBytes(CURL *Handle) {
  long Bytes = 0;
  curl_easy_getinfo(Handle, CURLINFO_REQUEST_SIZE, &Bytes);
  return Bytes;
}

bool hasOpenedConnection(CURL *Handle) {
  long Count = 0;
  curl_easy_getinfo(Handle, CURLINFO_NUM_CONNECTS, &Count);
  return Count != 0;
}

} // namespace mulberryramp
