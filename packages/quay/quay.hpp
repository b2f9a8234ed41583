#pragma once
#include <optional>
#include <string>

#include "control/control_node.hpp"

namespace wharf {

/// The seam to whatever starts and stops runners.
class Platform {
public:
  virtual ~Platform() = default;
  /// What the platform lists now; nothing when it cannot be asked.
  virtual std::optional<PlatformView> list() = 0;
  /// Passes one order on; false when the platform did not take it.
  virtual bool order(const PlatformOrder &order) = 0;
};

/// The platform's HTTP/JSON API; its format is described in docs/formats.md.
class Quay final : public Platform {
public:
  explicit Quay(const std::string &address);
  std::optional<PlatformView> list() override;
  bool order(const PlatformOrder &order) override;

private:
  std::string ip_;
  int port_ = 0;
};

} // namespace wharf
