/** Sample traffic: prompts of tenants that share long, nested beginnings. */
import type { RandomSource } from '../../runtime/random.js';

/** One tenant's traffic. */
export interface CallerProfile {
  readonly tenant: string;
  readonly key: string;
  readonly model: string;
  /** Characters that all of the tenant's prompts begin with. */
  readonly sharedCharacters: number;
  /** Characters of each branch below that beginning. */
  readonly branchCharacters: number;
  readonly branches: number;
  /** Share of the traffic, relative to the other tenants'. */
  readonly weight: number;
  readonly maxTokens: number;
}

/** A request to send. */
export interface SampleRequest {
  readonly profile: CallerProfile;
  readonly branch: number;
  readonly prompt: string;
  /** Characters of the prompt that were sent before in the same order. */
  readonly knownCharacters: number;
}

const QUESTION_CHARACTERS = 160;
/** How far the hottest branch moves at a shift. */
const BRANCH_STRIDE = 3;
const FILLER = 'the record of changes and rules that stands before every question of this kind. ';

/** Draws requests; the same random source gives the same requests. */
export class Workload {
  private readonly texts = new Map<string, string>();
  private readonly seen = new Set<string>();
  private drawn = 0;
  private branchOffset = 0;

  constructor(
    private readonly profiles: readonly CallerProfile[],
    private readonly random: RandomSource,
  ) {}

  next(): SampleRequest {
    const profile = this.drawProfile();
    const branch = this.drawBranch(profile);
    const shared = this.textOf(`${profile.tenant}`, profile.sharedCharacters);
    const below = this.textOf(`${profile.tenant}/${branch}`, profile.branchCharacters);
    this.drawn += 1;
    const question = fillText(`question ${this.drawn}`, QUESTION_CHARACTERS);
    const knownCharacters = this.knownCharacters(profile, branch);
    return { profile, branch, prompt: shared + below + question, knownCharacters };
  }

  private drawProfile(): CallerProfile {
    const total = this.profiles.reduce((sum, profile) => sum + profile.weight, 0);
    let rest = this.random.next() * total;
    for (const profile of this.profiles) {
      rest -= profile.weight;
      if (rest < 0) return profile;
    }
    return this.profiles[this.profiles.length - 1] as CallerProfile;
  }

  /** Moves the hot branches on, as they shift from hour to hour. */
  shiftBranches(): void {
    this.branchOffset += 1;
  }

  /** Low branches are hot: the square of a uniform draw. */
  private drawBranch(profile: CallerProfile): number {
    const draw = this.random.next();
    const rank = Math.floor(draw * draw * profile.branches);
    return (rank + this.branchOffset * BRANCH_STRIDE) % profile.branches;
  }

  private knownCharacters(profile: CallerProfile, branch: number): number {
    const branchKey = `${profile.tenant}/${branch}`;
    let known = 0;
    if (this.seen.has(profile.tenant)) known += profile.sharedCharacters;
    if (this.seen.has(branchKey)) known += profile.branchCharacters;
    this.seen.add(profile.tenant);
    this.seen.add(branchKey);
    return known;
  }

  private textOf(name: string, characters: number): string {
    let text = this.texts.get(name);
    if (text === undefined) {
      text = fillText(name, characters);
      this.texts.set(name, text);
    }
    return text;
  }
}

/** A text of exactly that many characters which differs from the start for each name. */
function fillText(name: string, characters: number): string {
  const line = `[${name}] ${FILLER}`;
  return line.repeat(Math.ceil(characters / line.length)).slice(0, characters);
}
