#pragma once

#include "balsamyard/src/Core/Error.h"
#include "balsamyard/src/Core/Http.h"
#include "balsamyard/src/Core/RefCounted.h"
#include "balsamyard/src/Version/FleetView.h"
#include "balsamyard/src/Version/KnownTarget.h"

#include <boost/intrusive/list_hook.hpp>
#include <functional>
#include <string>

namespace balsamyard {

/// \brief One request to one target, from its submission to its end. It may
/// outlive the request of the caller that it belongs to.
struct LinkCall : RefCounted<LinkCall> {
  Ref<KnownTarget> Target;
  Ref<RouteStats> Stats;
  std::string Method;
  TimePoint Deadline{}; ///< The target stops its work by then.

  /// \brief Encodes the message once a connection is available, so that the
  /// remaining time in it is accurate.
  std::function<std::string(TimePoint)> MakeMessage;

  /// \brief Called when the message was handed to a connection.
  std::function<void()> OnSent;

  /// \brief Called once with the response or an error, unless the call was
  /// withdrawn or aborted. Sent is false if no byte was sent.
  std::function<void(Expected<HttpResponse>, bool Sent)> OnEnd;

  TimePoint SentAt{};
  bool Sent = false;
  bool Late = false;

  /// Position in the queue of a channel.
  boost::intrusive::list_member_hook<> Hook;

  /// \brief Counts the call as late against its target until it ends.
  void markLate() {
    if (this->Late || !this->Sent)
      return;
    this->Late = true;
    this->Target->lateStarted();
  }

  /// \brief Drops the handlers, because the request of the caller has ended.
  void detach() {
    this->OnSent = nullptr;
    this->OnEnd = nullptr;
  }
};

} // namespace balsamyard
