#pragma once

#include <ace/Event_Handler.h>
#include <ace/Reactor.h>

#include <functional>
#include <utility>

namespace mulberryramp {

/// @brief Calls a function whenever a descriptor is readable, from construction
/// to destruction. The descriptor must stay open for that time.
class ReadableHandler final : public ACE_Event_Handler {
public:
  /// @brief Registers the handler with an event loop.
  /// @param Loop The event loop; must outlive the handler.
  /// @param Descriptor Descriptor to watch.
  /// @param OnReadable Called while the descriptor is readable.
  ReadableHandler(ACE_Reactor &Loop, int Descriptor,
                  std::function<void()> OnReadable)
      : ACE_Event_Handler{&Loop}, Descriptor{Descriptor}, OnReadable{std::move(
                                                              OnReadable)} {
    Loop.register_handler(this, READ_MASK);
  }
  ~ReadableHandler() override {
    reactor()->remove_handler(this, READ_MASK | DONT_CALL);
  }
  ACE_HANDLE get_handle() const override { return Descriptor; }
  int handle_input(ACE_HANDLE /*Handle*/) override {
    OnReadable();
    return 0;
  }

private:
  int Descriptor;
  std::function<void()> OnReadable;
};

} // namespace mulberryramp
