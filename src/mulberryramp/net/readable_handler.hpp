#pragma once

#include <ace/Event_Handler.h>
#include <ace/Reactor.h>

#include <functional>
#include <utility>

namespace mulberryramp {

/// @brief Runs a function when a descriptor becomes readable, until it is
/// destroyed; the descriptor has to stay open for as long.
class ReadableHandler final : public ACE_Event_Handler {
public:
  /// @brief Registers with an event loop.
  /// @param Loop The event loop.
  /// @param Descriptor What is watched.
  /// @param OnReadable What is run.
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
