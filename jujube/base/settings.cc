#include "jujube/base/settings.h"

#include <getopt.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"

namespace jujube {
namespace {

constexpr absl::string_view Version = "jujubedyke 0.1.0";

std::string variableName(const std::string &name) {
  return absl::StrCat("JUJUBE_", absl::AsciiStrToUpper(
                                     absl::StrReplaceAll(name, {{"-", "_"}})));
}

Error settingError(const SettingSpec &spec, absl::string_view value,
                   absl::string_view remedy) {
  return Error{ErrorKind::InvalidArgument,
               absl::StrCat("--", spec.Name, " has the value '", value, "'"),
               std::string(remedy)};
}

Status checkNumber(const SettingSpec &spec, const std::string &value) {
  int64_t n = 0;
  if (absl::SimpleAtoi(value, &n) && n >= spec.Min && n <= spec.Max)
    return Ok{};
  return settingError(
      spec, value,
      absl::StrCat("give a whole number from ", spec.Min, " to ", spec.Max));
}

Status checkValue(const SettingSpec &spec, const std::string &value) {
  if (value.empty() && spec.IsRequired)
    return Error{
        ErrorKind::InvalidArgument,
        absl::StrCat("--", spec.Name, " is missing"),
        absl::StrCat("set --", spec.Name, " or ", variableName(spec.Name))};
  switch (spec.Kind) {
  case SettingKind::Integer:
  case SettingKind::Millis:
    return checkNumber(spec, value);
  case SettingKind::AddressText: {
    if (value.empty())
      return Ok{};
    const Result<Address> parsed = Address::parse(value);
    return isOk(parsed) ? Status(Ok{})
                        : settingError(spec, value, errorOf(parsed).Remedy);
  }
  case SettingKind::AddressList: {
    const auto parsed = parseAddresses(value);
    return isOk(parsed) ? Status(Ok{})
                        : settingError(spec, value, errorOf(parsed).Remedy);
  }
  case SettingKind::Switch:
    if (value == "true" || value == "false")
      return Ok{};
    return settingError(spec, value, "give true or false");
  case SettingKind::Text:
    return Ok{};
  }
  return Ok{};
}

std::vector<option> longOptions(const std::vector<SettingSpec> &specs) {
  std::vector<option> options;
  options.reserve(specs.size() + 3);
  for (const SettingSpec &spec : specs)
    options.push_back({spec.Name.c_str(),
                       spec.Kind == SettingKind::Switch ? optional_argument
                                                        : required_argument,
                       nullptr, 0});
  options.push_back({"help", no_argument, nullptr, 'h'});
  options.push_back({"version", no_argument, nullptr, 'v'});
  options.push_back({nullptr, 0, nullptr, 0});
  return options;
}

} // namespace

std::optional<std::string> readEnvironment(const std::string &name) {
  // Programs read their settings before they start threads.
  const char *value =
      std::getenv(name.c_str()); // NOLINT(concurrency-mt-unsafe)
  return value ? std::optional<std::string>(value) : std::nullopt;
}

Result<Settings> Settings::parse(const std::vector<SettingSpec> &specs,
                                 const std::vector<std::string> &args,
                                 const EnvironmentHook &environment) {
  Settings settings;
  for (const SettingSpec &spec : specs)
    settings.Values[spec.Name] =
        environment(variableName(spec.Name)).value_or(spec.Default);

  std::vector<std::string> copies = args;
  copies.insert(copies.begin(), "program");
  std::vector<char *> argv;
  std::ranges::transform(copies, std::back_inserter(argv),
                         [](std::string &s) { return s.data(); });
  argv.push_back(nullptr);
  const int argc = static_cast<int>(copies.size());
  const std::vector<option> options = longOptions(specs);
  optind = 0;
  opterr = 0;
  int index = 0;
  for (int c = getopt_long(argc, argv.data(), ":", options.data(), &index);
       c != -1;
       c = getopt_long(argc, argv.data(), ":", options.data(), &index)) {
    if (c == 'h') {
      settings.WantsHelp = true;
    } else if (c == 'v') {
      settings.WantsVersion = true;
    } else if (c == 0) {
      settings.Values[options[index].name] = optarg ? optarg : "true";
    } else {
      return Error{ErrorKind::InvalidArgument,
                   absl::StrCat(c == ':' ? "no value for "
                                         : "unknown or ambiguous flag ",
                                argv[optind - 1]),
                   "see --help for the flags"};
    }
  }
  std::copy(argv.begin() + optind, argv.begin() + argc,
            std::back_inserter(settings.Positional));
  if (settings.WantsHelp || settings.WantsVersion)
    return settings;
  for (const SettingSpec &spec : specs)
    if (Status status = checkValue(spec, settings.Values[spec.Name]);
        !isOk(status))
      return errorOf(status);
  return settings;
}

const std::string &Settings::text(const std::string &name) const {
  return Values.at(name);
}

int64_t Settings::integer(const std::string &name) const {
  int64_t n = 0;
  (void)absl::SimpleAtoi(Values.at(name), &n);
  return n;
}

Duration Settings::duration(const std::string &name) const {
  return Duration::millis(integer(name));
}

Address Settings::address(const std::string &name) const {
  Result<Address> parsed = Address::parse(Values.at(name));
  return isOk(parsed) ? valueOf(std::move(parsed)) : Address{};
}

std::vector<Address> Settings::addresses(const std::string &name) const {
  auto parsed = parseAddresses(Values.at(name));
  return isOk(parsed) ? valueOf(std::move(parsed)) : std::vector<Address>{};
}

bool Settings::isOn(const std::string &name) const {
  return Values.at(name) == "true";
}

std::string helpText(absl::string_view usage,
                     const std::vector<SettingSpec> &specs) {
  std::string text = absl::StrCat("Usage: ", usage, "\n\n");
  for (const SettingSpec &spec : specs)
    absl::StrAppend(
        &text, "  --", spec.Name, " <", nameIn(SettingKindNames, spec.Kind),
        ">  ", spec.Help, " [", variableName(spec.Name),
        spec.IsRequired ? "; required"
                        : absl::StrCat("; default '", spec.Default, "'"),
        "]\n");
  return absl::StrCat(text, "  --help, --version\n");
}

std::variant<Settings, int>
parseCommandLine(absl::string_view usage, const std::vector<SettingSpec> &specs,
                 int argc, char **argv) {
  Result<Settings> settings =
      Settings::parse(specs, std::vector<std::string>(argv + 1, argv + argc));
  if (!isOk(settings)) {
    std::cerr << errorOf(settings).text() << "\n";
    return UsageExitCode;
  }
  if (valueOf(settings).wantsHelp()) {
    std::cout << helpText(usage, specs);
    return 0;
  }
  if (valueOf(settings).wantsVersion()) {
    std::cout << Version << "\n";
    return 0;
  }
  return valueOf(std::move(settings));
}

} // namespace jujube
