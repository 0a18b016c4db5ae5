/** Generates sample traffic whose prompts share long, nested prefixes within each tenant. */
import type { RandomSource } from '../../runtime/random.js';

/** Traffic profile of one tenant. */
export interface CallerProfile {
  readonly tenant: string;
  readonly key: string;
  readonly model: string;
  /** Length of the prefix that all prompts of the tenant share. */
  readonly sharedCharacters: number;
  /** Length of the text that the prompts of one branch share after that prefix. */
  readonly branchCharacters: number;
  readonly branches: number;
  /** Traffic weight relative to the other tenants. */
  readonly weight: number;
  readonly maxTokens: number;
}

/** A request to send. */
export interface SampleRequest {
  readonly profile: CallerProfile;
  readonly branch: number;
  readonly prompt: string;
  /** Length of the prompt prefix, in characters, that earlier requests also contained. */
  readonly repeatedCharacters: number;
}

const QUESTION_CHARACTERS = 160;
/** Number of branches by which the hottest branch moves at a shift. */
const BRANCH_STRIDE = 3;
const FILLER_TEXT =
  'the record of changes and rules that stands before every question of this kind. ';

/** Generates requests. The same random source gives the same requests. */
export class Workload {
  private readonly texts = new Map<string, string>();
  private readonly sentParts = new Set<string>();
  private requestCount = 0;
  private branchOffset = 0;

  constructor(
    private readonly profiles: readonly CallerProfile[],
    private readonly random: RandomSource,
  ) {}

  next(): SampleRequest {
    const profile = this.drawProfile();
    const branch = this.drawBranch(profile);
    const sharedText = this.textOf(`${profile.tenant}`, profile.sharedCharacters);
    const branchText = this.textOf(`${profile.tenant}/${branch}`, profile.branchCharacters);
    this.requestCount += 1;
    const question = fillText(`question ${this.requestCount}`, QUESTION_CHARACTERS);
    const repeatedCharacters = this.countRepeatedCharacters(profile, branch);
    return { profile, branch, prompt: sharedText + branchText + question, repeatedCharacters };
  }

  private drawProfile(): CallerProfile {
    const total = this.profiles.reduce((sum, profile) => sum + profile.weight, 0);
    let remainingWeight = this.random.next() * total;
    for (const profile of this.profiles) {
      remainingWeight -= profile.weight;
      if (remainingWeight < 0) return profile;
    }
    return this.profiles[this.profiles.length - 1] as CallerProfile;
  }

  /** Changes which branches are hot. */
  shiftBranches(): void {
    this.branchOffset += 1;
  }

  /** Draws a branch by the square of a uniform value, which favors low ranks. */
  private drawBranch(profile: CallerProfile): number {
    const draw = this.random.next();
    const rank = Math.floor(draw * draw * profile.branches);
    return (rank + this.branchOffset * BRANCH_STRIDE) % profile.branches;
  }

  /** Counts the characters that earlier requests contained, and records the prompt as sent. */
  private countRepeatedCharacters(profile: CallerProfile, branch: number): number {
    const branchKey = `${profile.tenant}/${branch}`;
    let repeatedCharacters = 0;
    if (this.sentParts.has(profile.tenant)) repeatedCharacters += profile.sharedCharacters;
    if (this.sentParts.has(branchKey)) repeatedCharacters += profile.branchCharacters;
    this.sentParts.add(profile.tenant);
    this.sentParts.add(branchKey);
    return repeatedCharacters;
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

/** Returns a text of the given length. The texts of different names differ near the start. */
function fillText(name: string, characters: number): string {
  const line = `[${name}] ${FILLER_TEXT}`;
  return line.repeat(Math.ceil(characters / line.length)).slice(0, characters);
}
