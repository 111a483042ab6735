#include "tests/platform/access_forms.h"

#include <ostream>
#include <utility>

namespace radishrudder::platform {
namespace {

// A route to the service "plain"; `members` replace or follow its own ones, as
// the last one of a name counts.
std::string Route(std::string_view prefix, std::string_view members) {
  return R"({"name": "r)" + std::string(prefix) +
         R"(", "host": "h.example", "prefix": ")" + std::string(prefix) +
         R"(", "kind": "idempotent", "service": "plain", "max_attempts": 2,)"
         R"("timeout_ms": 5000)" +
         std::string(members) + "}";
}

// The holder of the new key; `members` as of a route.
std::string Workspace(std::string_view members) {
  return R"({"name": "new", "api_keys": ["key-new"])" + std::string(members) +
         "}";
}

std::string Workspaces(std::string_view value) {
  return R"(, "tenants": )" + std::string(value);
}

AccessForm OfWorkspaces(std::string name, std::string_view value) {
  return {std::move(name), Route("/s/", ""), Workspaces(value)};
}

// A workspace in which a member of the old key's holder has another value.
AccessForm OfOldWorkspace(std::string name, std::string_view members) {
  return OfWorkspaces(std::move(name),
                      R"([{"name": "old", "api_keys": ["key-old"])" +
                          std::string(members) + "}]");
}

AccessForm OfRoute(std::string name, std::string_view members) {
  return {std::move(name), Route("/s/", members),
          Workspaces("[" + Workspace("") + "]")};
}

// The route beside one without limits that has a shorter prefix.
AccessForm BesideExempt(std::string name, std::string_view members) {
  return {std::move(name),
          Route("/s/", members) + ", " + Route("/", R"(, "auth_exempt": true)"),
          Workspaces("[" + Workspace("") + "]")};
}

AccessForm OfRouteRegions(std::string name, std::string_view value) {
  return OfRoute(std::move(name) + "OfRoute",
                 R"(, "allowed_regions": )" + std::string(value));
}

AccessForm OfWorkspaceRegions(std::string name, std::string_view value) {
  return OfWorkspaces(
      std::move(name) + "OfWorkspace",
      "[" + Workspace(R"(, "allowed_regions": )" + std::string(value)) + "]");
}

AccessForm ServedToNewKey(AccessForm form, bool valid) {
  form.access = Access::kHolderOfNewKey;
  form.valid = valid;
  return form;
}

AccessForm Valid(AccessForm form, Access access) {
  form.access = access;
  form.valid = true;
  return form;
}

void AddWorkspaceForms(std::vector<AccessForm>& forms) {
  forms.push_back(FormWithoutWorkspaces());
  // An error only in comparison with the configuration in force.
  forms.push_back(
      Valid(OfWorkspaces("WorkspacesEmpty", "[]"), Access::kNobody));
  const std::pair<const char*, const char*> kinds[] = {
      {"Null", "null"},       {"EmptyObject", "{}"}, {"Text", R"("key-old")"},
      {"EmptyText", R"("")"}, {"Zero", "0"},         {"False", "false"},
      {"True", "true"}};
  for (const auto& [name, value] : kinds) {
    forms.push_back(OfWorkspaces(std::string("Workspaces") + name, value));
  }
  forms.push_back(OfWorkspaces("WorkspacesObject",
                               R"({"name": "old", "api_keys": ["key-old"]})"));
  const std::pair<const char*, const char*> elements[] = {
      {"Null", "null"},         {"Number", "7"},
      {"Text", R"("key-old")"}, {"Keys", R"(["key-old"])"},
      {"EmptyObject", "{}"},    {"EmptyList", "[]"}};
  for (const auto& [name, value] : elements) {
    const std::string element(value);
    forms.push_back(
        OfWorkspaces(std::string("ElementOnly") + name, "[" + element + "]"));
    forms.push_back(
        ServedToNewKey(OfWorkspaces(std::string("ElementBeside") + name,
                                    "[" + element + ", " + Workspace("") + "]"),
                       false));
  }
}

void AddKeyForms(std::vector<AccessForm>& forms) {
  forms.push_back(Valid(OfWorkspaces("KeysAbsent", R"([{"name": "old"}])"),
                        Access::kNobody));
  forms.push_back(Valid(OfOldWorkspace("KeysEmpty", R"(, "api_keys": [])"),
                        Access::kNobody));
  const std::pair<const char*, const char*> kinds[] = {
      {"Null", "null"},
      {"Text", R"("key-old")"},
      {"EmptyText", R"("")"},
      {"Object", R"({"key": "key-old"})"},
      {"Number", "7"},
      {"OneEmpty", R"([""])"},
      {"OneNull", "[null]"},
      {"OneNumber", "[7]"},
      {"Nested", R"([["key-old"]])"}};
  for (const auto& [name, value] : kinds) {
    forms.push_back(OfOldWorkspace(std::string("Keys") + name,
                                   R"(, "api_keys": )" + std::string(value)));
  }
  const std::pair<const char*, const char*> partly[] = {
      {"Empty", R"(["", "key-new"])"}, {"Null", R"([null, "key-new"])"}};
  for (const auto& [name, value] : partly) {
    forms.push_back(ServedToNewKey(
        OfWorkspaces(
            std::string("KeysBeside") + name,
            "[" + Workspace(R"(, "api_keys": )" + std::string(value)) + "]"),
        false));
  }
}

// Without the name, endpoints can't be told whose call it is.
void AddNameForms(std::vector<AccessForm>& forms) {
  forms.push_back(OfWorkspaces("NameAbsent", R"([{"api_keys": ["key-old"]}])"));
  const std::pair<const char*, const char*> kinds[] = {
      {"Null", "null"},
      {"Empty", R"("")"},
      {"Number", "7"},
      {"List", R"(["old"])"},
      {"Blank", R"(" ")"},
      {"LineBreak", R"("old\r\nX: y")"},
      {"ZeroByte", R"("o\u0000")"}};
  for (const auto& [name, value] : kinds) {
    forms.push_back(OfOldWorkspace(std::string("Name") + name,
                                   R"(, "name": )" + std::string(value)));
  }
}

void AddRouteForms(std::vector<AccessForm>& forms) {
  forms.push_back(
      Valid(OfRoute("Exempt", R"(, "auth_exempt": true)"), Access::kEverybody));
  forms.push_back(ServedToNewKey(OfRoute("NotExempt", ""), true));
  const std::pair<const char*, const char*> exempt[] = {{"Null", "null"},
                                                        {"Text", R"("true")"},
                                                        {"One", "1"},
                                                        {"EmptyList", "[]"},
                                                        {"EmptyObject", "{}"}};
  for (const auto& [name, value] : exempt) {
    forms.push_back(ServedToNewKey(
        OfRoute(std::string("Exempt") + name,
                R"(, "auth_exempt": )" + std::string(value)),
        // A member that is null counts as missing here, which is no error.
        std::string_view(value) == "null"));
  }
  const std::pair<const char*, const char*> members[] = {
      {"KindNull", R"(, "kind": null)"},
      {"KindNumber", R"(, "kind": 7)"},
      {"KindUnknown", R"(, "kind": "odd")"},
      {"ServiceNull", R"(, "service": null)"},
      {"ServiceNumber", R"(, "service": 7)"},
      {"ServiceEmpty", R"(, "service": "")"},
      {"SplitEmpty", R"(, "service": null, "traffic_split": [])"},
      {"SplitText", R"(, "service": null, "traffic_split": "plain")"},
      {"PrefixNull", R"(, "prefix": null)"},
      {"PrefixNumber", R"(, "prefix": 7)"},
      {"PrefixEmpty", R"(, "prefix": "")"},
      {"PrefixWithoutSlash", R"(, "prefix": "s")"}};
  for (const auto& [name, value] : members) {
    forms.push_back(OfRoute(std::string("RouteOnly") + name,
                            R"(, "auth_exempt": true)" + std::string(value)));
    forms.push_back(BesideExempt(std::string("RouteBeside") + name, value));
  }
  const std::pair<const char*, const char*> hosts[] = {
      {"Null", "null"}, {"Number", "7"}, {"Empty", R"("")"}, {"List", "[]"}};
  for (const auto& [name, value] : hosts) {
    forms.push_back(
        OfRoute(std::string("Host") + name,
                R"(, "auth_exempt": true, "host": )" + std::string(value)));
  }
}

void AddRegionForms(std::vector<AccessForm>& forms) {
  const std::pair<const char*, const char*> allowing[] = {
      // The platform publishes an empty list where all regions are allowed.
      {"Empty", "[]"},
      {"Own", R"(["a"])"},
      {"Two", R"(["elsewhere", "a"])"}};
  for (const auto& [name, value] : allowing) {
    const std::string regions = "Regions" + std::string(name);
    forms.push_back(ServedToNewKey(OfRouteRegions(regions, value), true));
    forms.push_back(ServedToNewKey(OfWorkspaceRegions(regions, value), true));
  }
  const std::pair<const char*, const char*> kinds[] = {
      {"Null", "null"},          {"EmptyObject", "{}"},
      {"Number", "7"},           {"False", "false"},
      {"EmptyText", R"("")"},    {"Text", R"("a")"},
      {"OneNumber", "[7]"},      {"OneNull", "[null]"},
      {"Nested", R"([["a"]])"},  {"OneEmpty", R"([""])"},
      {"Partly", R"(["a", 7])"}, {"Object", R"({"a": true})"}};
  for (const auto& [name, value] : kinds) {
    const std::string regions = "Regions" + std::string(name);
    forms.push_back(OfRouteRegions(regions, value));
    forms.push_back(OfWorkspaceRegions(regions, value));
  }
}

}  // namespace

void PrintTo(const AccessForm& form, std::ostream* stream) {
  *stream << form.name;
}

void PrintTo(const UnreadableText& unreadable, std::ostream* stream) {
  *stream << unreadable.name;
}

std::string ConfigurationText(std::string_view version,
                              const AccessForm& form) {
  return R"({"version": )" + std::string(version) + R"(, "routes": [)" +
         form.routes +
         R"(], "services": [{"name": "plain", "max_connections": 64}],)"
         R"("limits": {})" +
         form.members + "}";
}

AccessForm FormInForce() {
  return OfOldWorkspace("InForce", "");
}

AccessForm FormWithoutWorkspaces() {
  return Valid({"WorkspacesAbsent", Route("/s/", ""), ""}, Access::kEverybody);
}

std::vector<AccessForm> AccessForms() {
  std::vector<AccessForm> forms;
  AddWorkspaceForms(forms);
  AddKeyForms(forms);
  AddNameForms(forms);
  AddRouteForms(forms);
  AddRegionForms(forms);
  return forms;
}

std::vector<UnreadableText> UnreadableTexts() {
  std::vector<UnreadableText> texts = {
      {"Empty", ""},
      {"Null", "null"},
      {"List", "[]"},
      {"EmptyObject", "{}"},
      {"CutOff", R"({"version": 8, "tenants": [)"}};
  const AccessForm open{"", Route("/s/", ""), ""};
  const std::pair<const char*, const char*> versions[] = {{"Null", "null"},
                                                          {"Text", R"("8")"},
                                                          {"Fraction", "8.5"},
                                                          {"Negative", "-8"},
                                                          {"List", "[8]"}};
  for (const auto& [name, version] : versions) {
    texts.push_back(
        {std::string("Version") + name, ConfigurationText(version, open)});
  }
  return texts;
}

}  // namespace radishrudder::platform
