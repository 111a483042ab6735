#include "radishrudder/calls/route_table.h"

namespace radishrudder::calls {

namespace {

bool IsAmbiguous(std::string_view path) {
  return path.find("//") != std::string_view::npos ||
         path.find("/.") != std::string_view::npos ||
         path.find_first_of("%\\;") != std::string_view::npos;
}

bool HasPrefix(std::string_view path, std::string_view prefix) {
  if (!path.starts_with(prefix)) {
    return false;
  }
  return prefix.empty() || prefix.ends_with('/') ||
         path.size() == prefix.size() || path[prefix.size()] == '/';
}

bool IsSafeMethod(std::string_view method) {
  return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

}  // namespace

RouteTable::RouteTable(const document::ServiceDocument& document)
    : m_kind(document.kind), m_routes(document.calls.routes) {}

bool RouteTable::IsIdempotent(std::string_view method,
                              std::string_view target) const {
  const std::string_view path = target.substr(0, target.find_first_of("?#"));
  if (IsAmbiguous(path)) {
    return false;
  }
  const document::RouteSection* best = nullptr;
  for (const auto& route : m_routes) {
    const bool fits = (route.method == "*" || route.method == method) &&
                      HasPrefix(path, route.prefix);
    // Of two prefixes of the same length, the non-idempotent route decides.
    const bool better =
        best == nullptr || route.prefix.size() > best->prefix.size() ||
        (route.prefix.size() == best->prefix.size() && !route.idempotent);
    if (fits && better) {
      best = &route;
    }
  }
  if (best != nullptr) {
    return best->idempotent;
  }
  return m_kind == document::ServiceKind::kModel || IsSafeMethod(method);
}

}  // namespace radishrudder::calls
