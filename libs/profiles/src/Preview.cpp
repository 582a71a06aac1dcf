#include <profiles/Preview.h>

#include <algorithm>
#include <iterator>

#include <google/protobuf/util/message_differencer.h>

namespace waxwingyoke::profiles {

namespace {

const schema::Profile kNone;

const schema::Profile&
FindOrNone(const Config& aConfig, const schema::Vm& aVm)
{
  const auto* profile = aConfig.FindProfileOf(aVm);
  return profile ? *profile : kNone;
}

std::vector<TouchedVm>
FindTouched(const Config& aBefore,
            const Config& aAfter,
            const schema::VmList& aVms)
{
  std::vector<TouchedVm> touched;
  std::ranges::for_each(aVms.vms(), [&](const schema::Vm& aVm) {
    const auto& before = FindOrNone(aBefore, aVm);
    const auto& after = FindOrNone(aAfter, aVm);
    if (before.revision() != after.revision()) {
      bool loads = after.kind() == schema::MODEL && !after.version().empty() &&
                   after.version() != before.version();
      touched.push_back({ aVm.id(), before.name(), after.name(), loads });
    }
  });
  return touched;
}

std::string
ShowOrganisations(const schema::RequestRules& aRules)
{
  std::string text;
  std::ranges::for_each(aRules.organisations(), [&text](const auto& aName) {
    text += text.empty() ? aName : ", " + aName;
  });
  return text.empty() ? "every organisation" : text;
}

std::vector<std::string>
ShowIdempotent(const schema::RequestRules& aRules)
{
  std::vector<std::string> rules;
  std::ranges::transform(
    aRules.idempotent(), std::back_inserter(rules), [](const auto& aRule) {
      return aRule.method() + " " + aRule.path_prefix();
    });
  std::ranges::sort(rules);
  return rules;
}

void
AddRules(const std::vector<std::string>& aFrom,
         const std::vector<std::string>& aTo,
         const std::string& aText,
         std::vector<std::string>& aLines)
{
  std::vector<std::string> missing;
  std::ranges::set_difference(aFrom, aTo, std::back_inserter(missing));
  std::ranges::transform(missing,
                         std::back_inserter(aLines),
                         [&aText](const auto& aRule) { return aRule + aText; });
}

std::vector<std::string>
DescribeRequests(const schema::Profile* aBefore, const schema::Profile* aAfter)
{
  std::vector<std::string> lines;
  if (!aAfter) {
    if (aBefore) {
      lines.push_back("new requests for " + aBefore->name() + " are refused");
    }
    return lines;
  }
  if (!aBefore) {
    lines.push_back("requests for " + aAfter->name() + " are taken from " +
                    ShowOrganisations(aAfter->requests()));
  } else {
    auto from = ShowOrganisations(aBefore->requests());
    auto to = ShowOrganisations(aAfter->requests());
    if (from != to) {
      lines.push_back("taken from " + to + " instead of " + from);
    }
  }
  const auto& old = aBefore ? aBefore->requests() : kNone.requests();
  auto before = ShowIdempotent(old);
  auto after = ShowIdempotent(aAfter->requests());
  AddRules(after, before, " may be repeated", lines);
  AddRules(before, after, " runs at most once", lines);
  return lines;
}

} // namespace

std::string
DescribeDifference(const schema::Profile* aStanding,
                   const schema::Profile& aWanted)
{
  if (!aStanding) {
    return "no such profile is in force";
  }
  google::protobuf::util::MessageDifferencer differencer;
  const auto* fields = schema::Profile::descriptor();
  differencer.IgnoreField(fields->FindFieldByName("revision"));
  differencer.IgnoreField(fields->FindFieldByName("author"));
  std::string text;
  differencer.ReportDifferencesToString(&text);
  differencer.Compare(*aStanding, aWanted);
  return text.empty() ? "no difference" : text;
}

Preview
MakePreview(const Fold& aFold,
            const schema::ProfileChange& aChange,
            const schema::VmList& aVms)
{
  auto after = aFold;
  schema::LogRecord record;
  record.set_id("preview");
  *record.mutable_profile_change() = aChange;
  const auto& name = aChange.profile().name();
  auto before = aFold.GetConfig();
  Preview preview;
  preview.difference =
    DescribeDifference(before->FindProfile(name), aChange.profile());
  preview.result =
    after.Apply(aFold.GetNextOffset(), record.SerializeAsString());
  if (preview.result.outcome == FoldOutcome::Accepted) {
    auto config = after.GetConfig();
    preview.vms = FindTouched(*before, *config, aVms);
    preview.requests =
      DescribeRequests(before->FindProfile(name), config->FindProfile(name));
  }
  return preview;
}

std::string
Show(const Preview& aPreview)
{
  std::string text =
    "would be " + std::string(GetName(aPreview.result.outcome));
  if (aPreview.result.outcome != FoldOutcome::Accepted) {
    text += ": " + aPreview.result.profile + " at revision " +
            std::to_string(aPreview.result.revision) + " by " +
            aPreview.result.author;
  }
  text += "\n" + aPreview.difference;
  text += "\n" + std::to_string(aPreview.vms.size()) + " VMs touched\n";
  std::ranges::for_each(aPreview.vms, [&text](const TouchedVm& aVm) {
    auto before = aVm.before.empty() ? "none" : aVm.before;
    auto after = aVm.after.empty() ? "none" : aVm.after;
    text += "  " + aVm.vm + ": " + before + " -> " + after +
            (aVm.loads ? ", loads\n" : "\n");
  });
  std::ranges::for_each(aPreview.requests, [&text](const std::string& aLine) {
    text += aLine + "\n";
  });
  return text;
}

} // namespace waxwingyoke::profiles
