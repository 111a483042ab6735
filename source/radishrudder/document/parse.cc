#include <algorithm>
#include <array>
#include <cstdint>
#include <string>
#include <utility>

#include "json_tree.h"
#include "object_reader.h"
#include "radishrudder/document/service_document.h"

namespace radishrudder::document {
namespace {

constexpr std::size_t kMaximumServiceName = 63;
constexpr std::size_t kMaximumText = 128;
constexpr std::size_t kMaximumPrefix = 1024;
constexpr std::size_t kMaximumAdapters = 64;
constexpr std::size_t kMaximumWorkspaces = 1024;
constexpr std::size_t kMaximumRoutes = 256;
constexpr std::uint32_t kMaximumTimeoutMilliseconds = 3'600'000;
constexpr std::uint32_t kMaximumQueue = 100'000;
constexpr std::uint32_t kMaximumConcurrency = 4'096;
constexpr std::uint32_t kMaximumPace = 10'000;
constexpr double kMaximumRetryBudget = 0.1;
constexpr double kMinimumShare = 0.001;
constexpr double kMaximumShare = 1'000'000;
constexpr double kMaximumReadyFloor = 0.99;
constexpr std::string_view kDigestPrefix = "sha256:";
constexpr std::size_t kDigestDigits = 64;
constexpr std::string_view kLowerLetters = "abcdefghijklmnopqrstuvwxyz";
constexpr std::string_view kNameLetters =
    "abcdefghijklmnopqrstuvwxyz0123456789-";

constexpr std::string_view kValidName =
    "1 to 63 of a-z, 0-9 and \"-\", a letter first";
constexpr std::string_view kValidText =
    "1 to 128 printable ASCII characters without spaces";
constexpr std::string_view kValidDigest =
    "\"sha256:\" and 64 lower-case hexadecimal digits";
constexpr std::string_view kValidPrefix =
    "a path of at most 1024 printable ASCII characters that begins with "
    "\"/\"";

constexpr auto kKinds = std::to_array<std::string_view>({"model", "plain"});
constexpr auto kMethods = std::to_array<std::string_view>(
    {"*", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"});

bool IsGraphic(char letter) {
  return letter > ' ' && letter < '\x7f';
}

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaximumServiceName &&
         kLowerLetters.find(text.front()) != std::string_view::npos &&
         text.find_first_not_of(kNameLetters) == std::string_view::npos;
}

bool IsText(std::string_view text) {
  return !text.empty() && text.size() <= kMaximumText &&
         std::ranges::all_of(text, IsGraphic);
}

bool IsDigest(std::string_view text) {
  return text.starts_with(kDigestPrefix) &&
         text.size() == kDigestPrefix.size() + kDigestDigits &&
         text.find_first_not_of("0123456789abcdef", kDigestPrefix.size()) ==
             std::string_view::npos;
}

bool IsPrefix(std::string_view text) {
  return text.starts_with('/') && text.size() <= kMaximumPrefix &&
         std::ranges::all_of(text, IsGraphic);
}

// Stores a value that was read; one that was not valid changes nothing.
template <typename Value, typename Target>
void Store(std::optional<Value> value, Target& target) {
  if (value) {
    target = static_cast<Target>(std::move(*value));
  }
}

void ReadAdapters(const Cursor& array, ModelSection& model) {
  if (!array.ExpectArray(kMaximumAdapters)) {
    return;
  }
  std::size_t index = 0;
  for (const Member& element : array.Value().members) {
    const Cursor cursor = array.Child(element, index++);
    const auto digest = cursor.Text(IsDigest, kValidDigest);
    if (!digest) {
      continue;
    }
    if (std::ranges::find(model.adapters, *digest) != model.adapters.end()) {
      cursor.Error(Quoted(*digest) + " stands twice", "each adapter once");
    }
    model.adapters.push_back(*digest);
  }
}

constexpr auto kModelFields = std::to_array<Field<ModelSection>>({
    {{"name", true, kValidText},
     [](const Cursor& cursor, ModelSection& model) {
       Store(cursor.Text(IsText, kValidText), model.name);
     }},
    {{"version", true, kValidText},
     [](const Cursor& cursor, ModelSection& model) {
       Store(cursor.Text(IsText, kValidText), model.version);
     }},
    {{"manifestDigest", true, kValidDigest},
     [](const Cursor& cursor, ModelSection& model) {
       Store(cursor.Text(IsDigest, kValidDigest), model.manifest_digest);
     }},
    {{"adapters", false, "an array of at most 64 digests"}, ReadAdapters},
});

constexpr auto kWorkspaceFields = std::to_array<Field<WorkspaceSection>>({
    {{"name", true, kValidText},
     [](const Cursor& cursor, WorkspaceSection& workspace) {
       Store(cursor.Text(IsText, kValidText), workspace.name);
     }},
    {{"share", false, "a number from 0.001 to 1000000"},
     [](const Cursor& cursor, WorkspaceSection& workspace) {
       Store(cursor.Number(kMinimumShare, kMaximumShare), workspace.share);
     }},
});

constexpr auto kRouteFields = std::to_array<Field<RouteSection>>({
    {{"method", true, "*, GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS"},
     [](const Cursor& cursor, RouteSection& route) {
       Store(cursor.Choice(kMethods), route.method);
     }},
    {{"prefix", true, kValidPrefix},
     [](const Cursor& cursor, RouteSection& route) {
       Store(cursor.Text(IsPrefix, kValidPrefix), route.prefix);
     }},
    {{"idempotent", true, "true or false"},
     [](const Cursor& cursor, RouteSection& route) {
       Store(cursor.Boolean(), route.idempotent);
     }},
});

void ReadWorkspaces(const Cursor& array, ServiceDocument& document) {
  if (!array.ExpectArray(kMaximumWorkspaces)) {
    return;
  }
  std::size_t index = 0;
  for (const Member& element : array.Value().members) {
    const Cursor cursor = array.Child(element, index++);
    WorkspaceSection workspace;
    ReadObject<WorkspaceSection>(cursor, kWorkspaceFields, workspace);
    const bool twice =
        std::ranges::find(document.workspaces, workspace.name,
                          &WorkspaceSection::name) != document.workspaces.end();
    if (twice && !workspace.name.empty()) {
      cursor.Error("workspace " + Quoted(workspace.name) + " stands twice",
                   "each workspace once");
    }
    document.workspaces.push_back(std::move(workspace));
  }
}

void ReadRoutes(const Cursor& array, CallsSection& calls) {
  if (!array.ExpectArray(kMaximumRoutes)) {
    return;
  }
  std::size_t index = 0;
  for (const Member& element : array.Value().members) {
    const Cursor cursor = array.Child(element, index++);
    RouteSection route;
    ReadObject<RouteSection>(cursor, kRouteFields, route);
    const bool twice =
        std::ranges::any_of(calls.routes, [&](const RouteSection& other) {
          return other.method == route.method && other.prefix == route.prefix;
        });
    if (twice && !route.method.empty() && !route.prefix.empty()) {
      cursor.Error("route " + route.method + " " + Quoted(route.prefix) +
                       " stands twice",
                   "each method and prefix once");
    }
    calls.routes.push_back(std::move(route));
  }
}

constexpr auto kCallsFields = std::to_array<Field<CallsSection>>({
    {{"timeoutMs", false, "a whole number of milliseconds from 1 to 3600000"},
     [](const Cursor& cursor, CallsSection& calls) {
       Store(cursor.Whole(1, kMaximumTimeoutMilliseconds), calls.timeout);
     }},
    {{"maximumQueue", false, "a whole number from 0 to 100000"},
     [](const Cursor& cursor, CallsSection& calls) {
       Store(cursor.Whole(0, kMaximumQueue), calls.maximum_queue);
     }},
    {{"endpointConcurrency", false, "a whole number from 1 to 4096"},
     [](const Cursor& cursor, CallsSection& calls) {
       Store(cursor.Whole(1, kMaximumConcurrency), calls.endpoint_concurrency);
     }},
    {{"retryBudget", false, "a number from 0 to 0.1"},
     [](const Cursor& cursor, CallsSection& calls) {
       Store(cursor.Number(0, kMaximumRetryBudget), calls.retry_budget);
     }},
    {{"hedgeBudget", false, "a number from 0 to the retryBudget"},
     [](const Cursor& cursor, CallsSection& calls) {
       Store(cursor.Number(0, kMaximumRetryBudget), calls.hedge_budget);
     }},
    {{"routingPolicy", false, "the name of a routing policy"},
     [](const Cursor& cursor, CallsSection& calls) {
       Store(cursor.Text(IsName, kValidName), calls.routing_policy);
     }},
    {{"routes", false, "an array of at most 256 routes"}, ReadRoutes},
});

constexpr auto kRolloutFields = std::to_array<Field<RolloutSection>>({
    {{"readyFloor", false, "a number from 0 to 0.99"},
     [](const Cursor& cursor, RolloutSection& rollout) {
       Store(cursor.Number(0, kMaximumReadyFloor), rollout.ready_floor);
     }},
    {{"pace", false, "a whole number from 0 to 10000"},
     [](const Cursor& cursor, RolloutSection& rollout) {
       Store(cursor.Whole(0, kMaximumPace), rollout.pace);
     }},
});

constexpr auto kTransferFields = std::to_array<Field<TransferSection>>({
    {{"speed", false, "a number from 0 to 1"},
     [](const Cursor& cursor, TransferSection& transfer) {
       Store(cursor.Number(0, 1), transfer.speed);
     }},
});

void ReadKind(const Cursor& cursor, ServiceDocument& document) {
  const auto kind = cursor.Choice(kKinds);
  if (kind) {
    document.kind =
        *kind == "plain" ? ServiceKind::kPlain : ServiceKind::kModel;
  }
}

void ReadCalls(const Cursor& cursor, ServiceDocument& document) {
  ReadObject<CallsSection>(cursor, kCallsFields, document.calls);
  const CallsSection& calls = document.calls;
  if (calls.hedge_budget > calls.retry_budget) {
    cursor.Error("hedgeBudget is above retryBudget",
                 "a hedgeBudget of at most the retryBudget, of which it is "
                 "a part");
  }
}

constexpr auto kDocumentFields = std::to_array<Field<ServiceDocument>>({
    {{"service", true, kValidName},
     [](const Cursor& cursor, ServiceDocument& document) {
       Store(cursor.Text(IsName, kValidName), document.service);
     }},
    {{"kind", true, "model, plain"}, ReadKind},
    {{"model", false, "an object with name, version and manifestDigest"},
     [](const Cursor& cursor, ServiceDocument& document) {
       document.model.emplace();
       ReadObject<ModelSection>(cursor, kModelFields, *document.model);
     }},
    {{"workspaces", false, "an array of at most 1024 workspaces"},
     ReadWorkspaces},
    {{"calls", false, "an object"}, ReadCalls},
    {{"rollout", false, "an object"},
     [](const Cursor& cursor, ServiceDocument& document) {
       ReadObject<RolloutSection>(cursor, kRolloutFields, document.rollout);
     }},
    {{"transfer", false, "an object"},
     [](const Cursor& cursor, ServiceDocument& document) {
       ReadObject<TransferSection>(cursor, kTransferFields, document.transfer);
     }},
});

bool HasValidKind(const Cursor& root) {
  return std::ranges::any_of(root.Value().members, [](const Member& member) {
    return member.key == "kind" &&
           std::ranges::find(kKinds, member.value.text) != kKinds.end();
  });
}

// Reports what fits the kind of service badly.
void CheckKind(const Cursor& root, const ServiceDocument& document) {
  if (!HasValidKind(root)) {
    return;
  }
  const bool plain = document.kind == ServiceKind::kPlain;
  if (!plain && !document.model && root.IsComplete()) {
    root.Error("key \"model\" is missing",
               "a \"model\" in a document of kind \"model\"");
  }
  for (const Member& member : root.Value().members) {
    const Cursor child = root.Child(member, 0);
    if (plain && member.key == "model") {
      child.ErrorAt(member.key_begin, "a plain service has no model",
                    "kind \"model\", or no \"model\"");
    }
    if (plain && (member.key == "rollout" || member.key == "transfer")) {
      child.Warning("has no effect for a plain service", "to leave it out");
    }
  }
}

ServiceDocument ReadDocument(ReadContext& context, const Node& node) {
  ServiceDocument document;
  const Cursor root(context, node, "");
  ReadObject<ServiceDocument>(root, kDocumentFields, document);
  if (node.kind == NodeKind::kObject) {
    CheckKind(root, document);
  }
  if (context.more) {
    context.findings.Error({std::string(context.source), 0, 0, ""},
                           "has more findings than these",
                           "to mend these first");
  }
  return document;
}

// Hands findings over in the order of the text.
void MoveInOrder(const kernel::Findings& own, kernel::Findings& findings) {
  std::vector<kernel::Finding> items(own.Items().begin(), own.Items().end());
  const auto place = [](const kernel::Finding& item) {
    const std::size_t line = item.place.line == 0 ? SIZE_MAX : item.place.line;
    return std::pair(line, item.place.column);
  };
  std::ranges::stable_sort(items, {}, place);
  for (kernel::Finding& item : items) {
    if (item.severity == kernel::Severity::kError) {
      findings.Error(std::move(item.place), std::move(item.text),
                     std::move(item.valid));
    } else {
      findings.Warning(std::move(item.place), std::move(item.text),
                       std::move(item.valid));
    }
  }
}

}  // namespace

std::optional<ServiceDocument> Parse(std::string_view source,
                                     std::string_view text,
                                     kernel::Findings& findings) {
  kernel::Findings own;
  const JsonTree tree = ParseJson(source, text, own);
  ReadContext context{source, text, tree.complete, own};
  std::optional<ServiceDocument> document;
  if (tree.root.end != 0) {
    document = ReadDocument(context, tree.root);
  }
  MoveInOrder(own, findings);
  if (own.HasErrors()) {
    return std::nullopt;
  }
  return document;
}

}  // namespace radishrudder::document
