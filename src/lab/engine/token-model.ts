/**
 * The fake engine's language model. The next token is a function of all text before it, as with a
 * real model at temperature 0, so a stream resumed from prompt and delivered text is the same.
 */
import createXxhash from 'xxhash-wasm';

/** Words that the model generates. */
const VOCABULARY = [
  'ready', 'flag', 'table', 'menu', 'release', 'audit', 'guest', 'rule', 'seat', 'check',
  'change', 'note', 'time', 'store', 'hold', 'path', 'order', 'party', 'scope', 'review',
  'value', 'policy', 'late', 'early', 'open', 'close', 'north', 'south', 'plan', 'step',
  'line', 'state',
] as const; // prettier-ignore

/** The text of one sequence, from which its next token is computed. */
export interface TextState {
  append(text: string | Uint8Array): void;
  /** Returns the token that follows the text, without appending it. */
  nextToken(): string;
}

/** Creates the text state of a new sequence. */
export type TokenModel = () => TextState;

/** Loads the hash function and creates the model. */
export async function createTokenModel(): Promise<TokenModel> {
  const { create32 } = await createXxhash();
  return () => {
    const hash = create32();
    return {
      append: (text) => {
        hash.update(text);
      },
      nextToken: () => ` ${VOCABULARY[hash.digest() % VOCABULARY.length] ?? ''}`,
    };
  };
}

/** Returns the text that a model generates for a prompt, for comparison in checks. */
export function expectedText(model: TokenModel, prompt: string, tokens: number): string {
  const state = model();
  state.append(prompt);
  let text = '';
  for (let index = 0; index < tokens; index += 1) {
    const token = state.nextToken();
    state.append(token);
    text += token;
  }
  return text;
}
