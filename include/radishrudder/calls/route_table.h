#ifndef RADISHRUDDER_CALLS_ROUTE_TABLE_H_
#define RADISHRUDDER_CALLS_ROUTE_TABLE_H_

#include <string_view>
#include <vector>

#include "radishrudder/document/service_document.h"

namespace radishrudder::calls {

// Determines which calls of a service may be repeated.
class RouteTable {
 public:
  RouteTable() = default;
  explicit RouteTable(const document::ServiceDocument& document);

  // Whether a call may run more than once. The matching route with the longest
  // prefix decides. Without a match, all calls of a model service and calls
  // with a safe HTTP method are idempotent. A path that an endpoint could
  // interpret differently (dot segments, empty segments, percent signs,
  // backslashes, semicolons) is never idempotent.
  bool IsIdempotent(std::string_view method, std::string_view target) const;

 private:
  document::ServiceKind m_kind = document::ServiceKind::kPlain;
  std::vector<document::RouteSection> m_routes;
};

}  // namespace radishrudder::calls

#endif  // RADISHRUDDER_CALLS_ROUTE_TABLE_H_
