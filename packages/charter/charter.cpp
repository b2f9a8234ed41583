#include "charter/charter.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

#include "json_limits/json_limits.hpp"
#include "seal/seal.hpp"

namespace wharf {

namespace {
using Json = nlohmann::json;
constexpr std::size_t depth_limit = 32;
constexpr std::size_t document_limit = 4u << 20;

/// Walks a document only to find repeated members, depth and syntax faults.
class RepeatFinder final : public nlohmann::json_sax<Json> {
public:
  std::vector<Fault> faults;
  bool is_syntax = false;

  bool null() override { return value(); }
  bool boolean(bool) override { return value(); }
  bool number_integer(number_integer_t) override { return value(); }
  bool number_unsigned(number_unsigned_t) override { return value(); }
  bool number_float(number_float_t, const string_t &) override { return value(); }
  bool string(string_t &) override { return value(); }
  bool binary(binary_t &) override { return value(); }
  bool start_object(std::size_t) override { return enter(); }
  bool end_object() override { return leave(); }
  bool start_array(std::size_t) override { return enter(); }
  bool end_array() override { return leave(); }
  bool key(string_t &name) override {
    frames_.back().name = name;
    if (!frames_.back().seen.insert(name).second) faults.push_back({path(), "repeated member"});
    return true;
  }
  bool parse_error(std::size_t position, const std::string &,
                   const nlohmann::detail::exception &fault) override {
    is_syntax = true;
    faults.push_back({"$", "byte " + std::to_string(position) + ": " + fault.what()});
    return false;
  }

private:
  struct Frame {
    std::string name;
    std::set<std::string> seen;
  };
  bool value() { return true; }
  bool enter() {
    if (frames_.size() >= depth_limit) {
      is_syntax = true;
      faults.push_back({path(), "nested too deeply"});
      return false;
    }
    frames_.emplace_back();
    return true;
  }
  bool leave() {
    frames_.pop_back();
    return true;
  }
  std::string path() const {
    std::string text = "$";
    for (const Frame &frame : frames_)
      if (!frame.name.empty()) text += "." + frame.name;
    return text;
  }
  std::vector<Frame> frames_;
};

std::variant<Json, CharterErrors> parse(std::string_view bytes) {
  if (bytes.size() > document_limit) return CharterErrors{true, {{"$", "larger than 4 MiB"}}};
  if (const auto fault = nesting_fault(shape_of_json(bytes))) return CharterErrors{true, {{"$", *fault}}};
  RepeatFinder finder;
  const bool is_whole = Json::sax_parse(bytes.begin(), bytes.end(), &finder);
  if (!is_whole || !finder.faults.empty()) return CharterErrors{finder.is_syntax, finder.faults};
  return Json::parse(bytes.begin(), bytes.end());
}

bool is_plain_name(std::string_view text) {
  return !text.empty() && text.size() <= 64 &&
         std::all_of(text.begin(), text.end(), [](unsigned char letter) {
           return std::isalnum(letter) || letter == '-' || letter == '_' || letter == '.';
         });
}

class Reader {
public:
  explicit Reader(std::vector<Fault> &faults) : faults_(faults) {}

  void number(const Json &from, const std::string &path, const char *name, std::int64_t &into,
              std::int64_t least, std::int64_t most) {
    const auto found = from.find(name);
    if (found == from.end()) return;
    const std::string place = path + "." + name;
    if (!found->is_number_integer()) {
      fault(place, "a whole number is expected");
      return;
    }
    const bool is_huge = found->is_number_unsigned() && found->get<std::uint64_t>() > INT64_MAX;
    const std::int64_t value = is_huge ? INT64_MAX : found->get<std::int64_t>();
    if (is_huge || value < least || value > most)
      fault(place, "must be from " + std::to_string(least) + " to " + std::to_string(most));
    else
      into = value;
  }
  void flag(const Json &from, const std::string &path, const char *name, bool &into) {
    const auto found = from.find(name);
    if (found == from.end()) return;
    if (!found->is_boolean())
      fault(path + "." + name, "true or false is expected");
    else
      into = found->get<bool>();
  }
  void text(const Json &from, const std::string &path, const char *name, std::string &into, std::size_t least,
            std::size_t most) {
    const auto found = from.find(name);
    if (found == from.end()) {
      if (least > 0) fault(path + "." + name, "is missing");
      return;
    }
    if (!found->is_string())
      fault(path + "." + name, "a text is expected");
    else if (found->get_ref<const std::string &>().size() < least ||
             found->get_ref<const std::string &>().size() > most)
      fault(path + "." + name,
            "must have " + std::to_string(least) + " to " + std::to_string(most) + " bytes");
    else
      into = found->get<std::string>();
  }
  void only(const Json &from, const std::string &path, std::initializer_list<std::string_view> known) {
    for (const auto &item : from.items())
      if (std::find(known.begin(), known.end(), item.key()) == known.end())
        fault(path + "." + item.key(), "unknown member");
  }
  bool object(const Json &value, const std::string &path) {
    if (!value.is_object()) fault(path, "an object is expected");
    return value.is_object();
  }
  void fault(std::string path, std::string what) { faults_.push_back({std::move(path), std::move(what)}); }

private:
  std::vector<Fault> &faults_;
};

#define WHARF_READ_NUMBER(name, start, least, most, meaning)                                                 \
  reader.number(value, path, #name, item.name, least, most);
#define WHARF_READ_FLAG(name, start, meaning) reader.flag(value, path, #name, item.name);
#define WHARF_READ_TEXT(name, start, least, most, meaning)                                                   \
  reader.text(value, path, #name, item.name, least, most);
#define WHARF_NAME_NUMBER(name, start, least, most, meaning) #name,
#define WHARF_NAME_FLAG(name, start, meaning) #name,
#define WHARF_NAME_TEXT(name, start, least, most, meaning) #name,

void read_tenant(Reader &reader, const Json &value, const std::string &path, Tenant &item) {
  WHARF_TENANT_OPTIONS(WHARF_READ_NUMBER, WHARF_READ_FLAG, WHARF_READ_TEXT)
  reader.only(value, path,
              {"keys", WHARF_TENANT_OPTIONS(WHARF_NAME_NUMBER, WHARF_NAME_FLAG, WHARF_NAME_TEXT)});
  const auto keys = value.find("keys");
  if (keys == value.end()) return;
  if (!keys->is_array()) {
    reader.fault(path + ".keys", "a list of texts is expected");
    return;
  }
  for (std::size_t at = 0; at < keys->size(); ++at) {
    const Json &key = (*keys)[at];
    const std::string place = path + ".keys[" + std::to_string(at) + "]";
    if (!key.is_string())
      reader.fault(place, "a text is expected");
    else if (key.get_ref<const std::string &>().size() < 8 ||
             key.get_ref<const std::string &>().size() > 256 ||
             !std::all_of(key.get_ref<const std::string &>().begin(),
                          key.get_ref<const std::string &>().end(),
                          [](unsigned char letter) { return letter > 32 && letter < 127; }))
      reader.fault(place, "8 to 256 visible ASCII letters are expected");
    else
      item.keys.push_back(key.get<std::string>());
  }
}

void read_service(Reader &reader, const Json &value, const std::string &path, Service &item) {
  WHARF_SERVICE_OPTIONS(WHARF_READ_NUMBER, WHARF_READ_FLAG, WHARF_READ_TEXT)
  reader.only(value, path, {WHARF_SERVICE_OPTIONS(WHARF_NAME_NUMBER, WHARF_NAME_FLAG, WHARF_NAME_TEXT)});
  if (item.least > item.most) reader.fault(path + ".least", "is above most");
}

void read_limits(Reader &reader, const Json &value, const std::string &path, Limits &item) {
  WHARF_LIMIT_OPTIONS(WHARF_READ_NUMBER, WHARF_READ_FLAG, WHARF_READ_TEXT)
  reader.only(value, path, {WHARF_LIMIT_OPTIONS(WHARF_NAME_NUMBER, WHARF_NAME_FLAG, WHARF_NAME_TEXT)});
  if (item.wait_default_ms > item.wait_most_ms)
    reader.fault(path + ".wait_default_ms", "is above wait_most_ms");
  if (item.claim_keep_s * 1000 < item.wait_most_ms * 2)
    reader.fault(path + ".claim_keep_s", "must be at least twice wait_most_ms");
  if (item.unknown_keep_s < item.claim_keep_s)
    reader.fault(path + ".unknown_keep_s", "is below claim_keep_s");
}

void read_trial(Reader &reader, const Json &value, const std::string &path, TrialBounds &item) {
  WHARF_TRIAL_OPTIONS(WHARF_READ_NUMBER, WHARF_READ_FLAG, WHARF_READ_TEXT)
  reader.only(value, path, {WHARF_TRIAL_OPTIONS(WHARF_NAME_NUMBER, WHARF_NAME_FLAG, WHARF_NAME_TEXT)});
}

template <typename Item, typename ReadItem>
void read_named(Reader &reader, const Json &root, const char *member, std::vector<Item> &into,
                std::unordered_map<std::string, std::uint32_t> &index, ReadItem read_item) {
  const auto found = root.find(member);
  if (found == root.end()) return;
  const std::string base = std::string("$.") + member;
  if (!reader.object(*found, base)) return;
  for (const auto &pair : found->items()) {
    const std::string path = base + "." + pair.key();
    if (!is_plain_name(pair.key())) reader.fault(path, "a name has 1 to 64 letters, digits, '-', '_' or '.'");
    if (!reader.object(pair.value(), path)) continue;
    Item item;
    item.name = pair.key();
    read_item(reader, pair.value(), path, item);
    index[item.name] = static_cast<std::uint32_t>(into.size());
    into.push_back(std::move(item));
  }
}

void check_keys(Reader &reader, Charter &charter) {
  for (std::uint32_t at = 0; at < charter.tenants.size(); ++at)
    for (const std::string &key : charter.tenants[at].keys)
      if (!charter.tenant_of_key.emplace(digest_hex(key), at).second)
        reader.fault("$.tenants." + charter.tenants[at].name + ".keys", "a key is given twice");
}

void read_rules(Reader &reader, const Json &root, Charter &charter) {
  const auto found = root.find("rules");
  if (found == root.end() || !reader.object(*found, "$.rules")) return;
  std::map<std::string, std::string> texts;
  for (const auto &pair : found->items()) {
    if (!is_plain_name(pair.key())) reader.fault("$.rules." + pair.key(), "not a name");
    if (!pair.value().is_string())
      reader.fault("$.rules." + pair.key(), "a text is expected");
    else
      texts[pair.key()] = pair.value().get<std::string>();
  }
  auto compiled = Compass::compile(texts);
  if (auto *errors = std::get_if<std::vector<RuleError>>(&compiled)) {
    for (const RuleError &error : *errors)
      reader.fault("$.rules." + error.name, "line " + std::to_string(error.line) + ", column " +
                                                std::to_string(error.column) + ": " + error.what);
    return;
  }
  charter.compass = std::get<Compass>(std::move(compiled));
  for (const Rule &rule : charter.compass.rules()) {
    for (const Target &target : rule.targets)
      if (!charter.service_index.contains(target.service))
        reader.fault("$.rules." + rule.name, "leads to unknown service '" + target.service + "'");
    for (const std::string &tenant : rule.tenants)
      if (!charter.tenant_index.contains(tenant))
        reader.fault("$.rules." + rule.name, "names unknown tenant '" + tenant + "'");
  }
}
} // namespace

const Tenant *Charter::find_tenant(std::string_view key) const {
  const auto found = tenant_of_key.find(digest_hex(key));
  return found == tenant_of_key.end() ? nullptr : &tenants[found->second];
}

const Tenant *Charter::tenant_named(std::string_view name) const {
  const auto found = tenant_index.find(std::string(name));
  return found == tenant_index.end() ? nullptr : &tenants[found->second];
}

const Service *Charter::service_named(std::string_view name) const {
  const auto found = service_index.find(std::string(name));
  return found == service_index.end() ? nullptr : &services[found->second];
}

std::variant<std::shared_ptr<const Charter>, CharterErrors> read_charter(std::string_view bytes) {
  auto parsed = parse(bytes);
  if (auto *errors = std::get_if<CharterErrors>(&parsed)) return *errors;
  const Json &root = std::get<Json>(parsed);
  auto charter = std::make_shared<Charter>();
  CharterErrors errors;
  Reader reader(errors.faults);
  if (reader.object(root, "$")) {
    reader.only(root, "$", {"tenants", "services", "rules", "limits", "trial", "number", "origin"});
    read_named(reader, root, "tenants", charter->tenants, charter->tenant_index, read_tenant);
    read_named(reader, root, "services", charter->services, charter->service_index, read_service);
    const auto limits = root.find("limits");
    if (limits != root.end() && reader.object(*limits, "$.limits"))
      read_limits(reader, *limits, "$.limits", charter->limits);
    std::int64_t number = 0;
    reader.number(root, "$", "number", number, 1, INT64_MAX);
    charter->number = static_cast<std::uint64_t>(number);
    const auto trial = root.find("trial");
    if (trial != root.end() && reader.object(*trial, "$.trial"))
      read_trial(reader, *trial, "$.trial", charter->trial);
    read_rules(reader, root, *charter);
    for (const Rule &rule : charter->compass.rules())
      charter->top_worth = std::max(charter->top_worth, rule.worth);
    for (const Service &service : charter->services)
      charter->top_worth = std::max(charter->top_worth, static_cast<std::uint32_t>(service.worth));
    std::int64_t most_above = 0;
    for (const Tenant &tenant : charter->tenants) most_above = std::max(most_above, tenant.worth);
    charter->top_worth += static_cast<std::uint32_t>(most_above);
    check_keys(reader, *charter);
  }
  if (!errors.faults.empty()) return errors;
  return charter;
}

std::string origin_of(std::string_view bytes) {
  const Json root = Json::parse(bytes, nullptr, false);
  return root.is_object() && root.contains("origin") ? root["origin"].dump() : std::string();
}

std::variant<std::string, CharterErrors> merge_charter(std::string_view bytes, std::string_view patch) {
  auto base = parse(bytes.empty() ? std::string_view("{}") : bytes);
  if (auto *errors = std::get_if<CharterErrors>(&base)) return *errors;
  auto change = parse(patch);
  if (auto *errors = std::get_if<CharterErrors>(&change)) return *errors;
  Json merged = std::get<Json>(std::move(base));
  merged.merge_patch(std::get<Json>(change));
  return merged.dump(2);
}

#define WHARF_TELL_NUMBER(name, start, least, most, meaning)                                                 \
  page << "| `" #name "` | number, " << static_cast<std::int64_t>(least) << " to "                           \
       << static_cast<std::int64_t>(most) << " | " << static_cast<std::int64_t>(start) << " | " << meaning   \
       << " |\n";
#define WHARF_TELL_FLAG(name, start, meaning)                                                                \
  page << "| `" #name "` | true or false | " << (start ? "true" : "false") << " | " << meaning << " |\n";
#define WHARF_TELL_TEXT(name, start, least, most, meaning)                                                   \
  page << "| `" #name "` | text, " << least << " to " << most << " bytes | "                                 \
       << (least > 0 ? "required" : start) << " | " << meaning << " |\n";

std::string describe_options() {
  std::ostringstream page;
  const std::string head = "| member | kind | default | meaning |\n|---|---|---|---|\n";
  page << "# Members of a manifest\n\nMade from the declarations in `packages/charter/options.hpp` by "
          "`wharfctl options`.\n";
  page << "\n## `tenants.NAME`\n\n" << head;
  page << "| `keys` | list of texts | none | Keys callers of this tenant present; 8 to 256 visible letters. "
          "|\n";
  WHARF_TENANT_OPTIONS(WHARF_TELL_NUMBER, WHARF_TELL_FLAG, WHARF_TELL_TEXT)
  page << "\n## `services.NAME`\n\n" << head;
  WHARF_SERVICE_OPTIONS(WHARF_TELL_NUMBER, WHARF_TELL_FLAG, WHARF_TELL_TEXT)
  page << "\n## `limits`\n\n" << head;
  WHARF_LIMIT_OPTIONS(WHARF_TELL_NUMBER, WHARF_TELL_FLAG, WHARF_TELL_TEXT)
  page << "\n## `trial`\n\n" << head;
  WHARF_TRIAL_OPTIONS(WHARF_TELL_NUMBER, WHARF_TELL_FLAG, WHARF_TELL_TEXT)
  page << "\n## `rules.NAME`\n\nOne rule in the rule language: "
          "`METHOD[|METHOD] [//HOST]PATH [for TENANT[|TENANT]] to SERVICE [weight N][, SERVICE [weight N]] "
          "[OPTION ...]`, with the options `repeatable` (may run more than once), `open` (no key), `within "
          "MS`, "
          "`aim MS`, `tries N` and `worth N`. "
          "`*` as a method means any; in a path `*` is one part and a last `**` all that follows. "
          "The more specific rule goes first.\n";
  page << "\n## `number` and `origin`\n\n`number`: the number an operator gives this version; it must be "
          "above "
          "the one in force. Without it the group counts. `origin`: any JSON its writer wants kept with the "
          "manifest; nothing is read of it.\n";
  return page.str();
}

} // namespace wharf
